Feature: Hosts fail and callers still get their answers

  Scenario: A node is killed under load
    Given a fleet of 4 hosts under the first release note
    And branches send lookups and pledges, seed 11
    When a node is killed
    Then from 5 seconds after the fault lookups at other nodes are answered in a second
    And every call to another node has an end within its time
    And no pledge ran twice and no refusal was wrong

  Scenario: A backend server is killed under load and starts again
    Given a fleet of 3 hosts under the first release note
    And branches send lookups and pledges, seed 12
    When a backend server is killed
    Then from 5 seconds after the fault lookups at other nodes are answered in a second
    When the backend server starts again
    And 150 more calls have ended
    Then the backend server runs calls again
    And no pledge ran twice and no refusal was wrong

  Scenario: A node's process is paused and goes on
    Given a fleet of 4 hosts under the first release note
    And branches send lookups and pledges, seed 13
    When a node is frozen
    Then from 5 seconds after the fault lookups at other nodes are answered in a second
    When the node thaws
    Then the node is in use again within 10 seconds
    And every call to another node has an end within its time
    And no pledge ran twice and no refusal was wrong
