Feature: Graceful shutdown interrupts no requests

  Scenario: A node is drained under load
    Given a fleet of 4 hosts under the initial release note
    And branches send lookups and pledges, seed 51
    When a node is asked to shut down
    Then its process exits with status 0 within 15 seconds
    And its backend server started no request later than 3 seconds after the signal
    And no request was interrupted
    And no pledge ran twice and no result was wrong

  Scenario: A backend server is drained under load
    Given a fleet of 3 hosts under the initial release note
    And branches send lookups and pledges, seed 52
    When a backend server is asked to shut down
    Then its process exits with status 0 within 15 seconds
    And its backend server started no request later than 3 seconds after the signal
    When 150 more calls have ended
    Then no request was interrupted
    And no pledge ran twice and no result was wrong

  Scenario: All nodes are restarted one after another
    Given a fleet of 4 hosts under the initial release note
    And branches resend pledges until they know the result, seed 53
    When each node is restarted in turn
    Then all nodes have the same revision in force
    And no request was interrupted
    And every pledge was executed
    And no pledge ran twice and no result was wrong

  Scenario: A node shuts down in time while a release note waits for the platform
    Given a fleet of 2 hosts with a drain limit of 3 seconds
    When an operator submits a release note while the platform does not respond
    And a node is asked to shut down
    Then its process exits with status 0 within 12 seconds
