Feature: Bad input at the ports of a node

  Scenario: Bad requests are refused, counted and never run
    Given a fleet of 2 hosts under the first release note
    And a caller that stays connected
    When bad requests arrive at a node
    Then each got its status and reason and was counted
    And nothing has run but the good calls
    And the connected caller and the node are unharmed

  Scenario: Bad bytes on streams between nodes
    Given a fleet of 2 hosts under the first release note
    And a caller that stays connected
    When bad bytes arrive on new peer streams
    Then each stream is closed and its fault counted
    And the connected caller and the node are unharmed
