Feature: Planned stops cut nothing off

  Scenario: A node is drained under load
    Given a fleet of 4 hosts under the first release note
    And branches send lookups and pledges, seed 51
    When a node is told to end
    Then its process ends with status 0 within 15 seconds
    And its backend server got no new work later than 3 seconds after
    And nothing was cut off
    And no pledge ran twice and no refusal was wrong

  Scenario: A backend server is drained under load
    Given a fleet of 3 hosts under the first release note
    And branches send lookups and pledges, seed 52
    When a backend server is told to end
    Then its process ends with status 0 within 15 seconds
    And its backend server got no new work later than 3 seconds after
    When 150 more calls have ended
    Then nothing was cut off
    And no pledge ran twice and no refusal was wrong

  Scenario: All nodes are replaced one after another
    Given a fleet of 4 hosts under the first release note
    And branches send pledges again until they are sure, seed 53
    When each node is replaced in turn
    Then the revision in force is the same at all nodes
    And nothing was cut off
    And every pledge was recorded
    And no pledge ran twice and no refusal was wrong

  Scenario: A node ends in time though a release note waits for the platform
    Given a fleet of 2 hosts that have 3 seconds for a stop
    When the platform does not answer and an operator hands a note in
    And a node is told to end
    Then its process ends with status 0 within 12 seconds
