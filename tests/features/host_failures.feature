Feature: Calls are served while hosts fail

  Scenario: A node is killed under load
    Given a fleet of 4 hosts under the initial release note
    And branches send lookups and pledges, seed 11
    When a node is killed
    Then from 5 seconds after the fault, lookups at other nodes succeed within 1 second
    And every call to another node ends within its deadline
    And no pledge ran twice and no result was wrong

  Scenario: A backend server is killed and restarted under load
    Given a fleet of 3 hosts under the initial release note
    And branches send lookups and pledges, seed 12
    When a backend server is killed
    Then from 5 seconds after the fault, lookups at other nodes succeed within 1 second
    When the backend server restarts
    And 150 more calls have ended
    Then the backend server executes calls again
    And no pledge ran twice and no result was wrong

  Scenario: A node's process is suspended and resumed under load
    Given a fleet of 4 hosts under the initial release note
    And branches send lookups and pledges, seed 13
    When a node's process is suspended
    Then from 5 seconds after the fault, lookups at other nodes succeed within 1 second
    When the node's process resumes
    Then all nodes have the full membership within 10 seconds
    And every call to another node ends within its deadline
    And no pledge ran twice and no result was wrong
