Feature: Invalid input at the ports of a node

  Scenario: Invalid requests are refused and counted but not executed
    Given a fleet of 2 hosts under the initial release note
    And a caller with a persistent connection
    When a node receives invalid requests
    Then each request was refused with its status and reason and counted
    And only the valid calls were executed
    And the persistent connection and all processes still work

  Scenario: Invalid data on peer streams closes the stream
    Given a fleet of 2 hosts under the initial release note
    And a caller with a persistent connection
    When a node receives invalid data on new peer streams
    Then each stream was closed and its error counted
    And the persistent connection and all processes still work
