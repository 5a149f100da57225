Feature: Configuration changes and platform faults

  Scenario: Conflicting release notes are submitted concurrently
    Given a fleet of 3 hosts under the initial release note
    When 6 operators submit conflicting release notes at once, seed 31
    Then exactly one release note was accepted and the other errors name the conflict
    And the accepted release note is in force at all nodes within 5 seconds

  Scenario: A release note is accepted while the platform loses responses
    Given a fleet of 3 hosts under the initial release note
    When the platform loses 100 of 100 responses to writes, seed 32
    And an operator submits a release note twice
    Then it was accepted once and is in force at all nodes within 5 seconds

  Scenario: A release note is accepted while the platform is slow
    Given a fleet of 3 hosts under the initial release note
    And branches send lookups and pledges, seed 33
    When the platform delays each call by 1000 ms
    And an operator submits a release note twice
    Then it was accepted once and is in force at all nodes within 5 seconds
    And from 5 seconds after the fault, lookups at other nodes succeed within 1 second
    And no pledge ran twice and no result was wrong

  Scenario: A node restarts while the platform is down
    Given a fleet of 4 hosts under the initial release note
    And branches send lookups and pledges, seed 34
    When the platform goes down
    And a node is killed
    Then from 5 seconds after the fault, lookups at other nodes succeed within 1 second
    When the node restarts while the platform is down
    Then all nodes have the same revision in force
    When the platform is available again
    And an operator submits a release note twice
    Then it was accepted once and is in force at all nodes within 5 seconds
    And no pledge ran twice and no result was wrong

  Scenario: A withdrawn key is refused on open connections
    Given a fleet of 3 hosts under the initial release note
    And callers have open connections to all nodes
    When an operator withdraws the callers' key
    Then requests on each open connection are refused as key-withdrawn within 5 seconds
    And no request with the key is executed any more
