Feature: The path of calls through all processes

  Scenario: Nested calls reach both services and keys reach no backend server
    Given a fleet whose donkeys service calls the care service
    When callers with different keys send 40 calls, seed 41
    Then every caller received the complete response to its own request
    And each call made its nested calls exactly once
    And no backend server received a key
