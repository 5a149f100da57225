Feature: A request that crashes backend servers

  Scenario: A poison request is sent repeatedly
    Given a fleet of 6 hosts whose backend servers crash on a marker
    And branches send lookups and pledges, seed 61
    When a caller sends the same poison request 20 times
    Then it was executed at most 5 times and all nodes refuse it as poison
    And no pledge ran twice and no result was wrong
