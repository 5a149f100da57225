Feature: A call's whole path

  Scenario: Calls with nested calls reach both services and keys reach none
    Given a fleet whose donkeys service calls the care service
    When callers of each sort send 40 calls, seed 41
    Then every caller got the whole answer to its own request
    And each call made its nested calls once
    And no backend server has seen a key
