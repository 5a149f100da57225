Feature: Operators and the platform

  Scenario: Operators race with conflicting notes
    Given a fleet of 3 hosts under the first release note
    When 6 operators send conflicting notes at the same time, seed 31
    Then exactly one note was accepted and the others name the conflict
    And the accepted note is in force everywhere within 5 seconds

  Scenario: A note is accepted while the platform loses answers
    Given a fleet of 3 hosts under the first release note
    When the platform loses 100 of 100 answers to changes, seed 32
    And an operator sends a note
    Then it is accepted once and in force everywhere within 5 seconds

  Scenario: The platform is slow
    Given a fleet of 3 hosts under the first release note
    And branches send lookups and pledges, seed 33
    When the platform takes 1000 ms for each call
    And an operator sends a note
    Then it is accepted once and in force everywhere within 5 seconds
    And from 5 seconds after the fault lookups at other nodes are answered in a second
    And no pledge ran twice and no refusal was wrong

  Scenario: The platform is down and a node is killed, and both come back
    Given a fleet of 4 hosts under the first release note
    And branches send lookups and pledges, seed 34
    When the platform goes down
    And a node is killed
    Then from 5 seconds after the fault lookups at other nodes are answered in a second
    When the node starts again without the platform
    Then the revision in force is the same at all nodes
    When the platform comes back
    And an operator sends a note
    Then it is accepted once and in force everywhere within 5 seconds
    And no pledge ran twice and no refusal was wrong

  Scenario: A key is withdrawn while its caller stays connected
    Given a fleet of 3 hosts under the first release note
    And callers hold open connections to every node
    When an operator withdraws their key
    Then each open connection is refused with key-withdrawn within 5 seconds
    And nothing has run for the key since it was refused everywhere
