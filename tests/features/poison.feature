Feature: A request that crashes backend servers

  Scenario: A poison request is sent again and again
    Given a fleet of 6 hosts whose backend servers crash on a marker
    And branches send lookups and pledges, seed 61
    When a caller sends the same poison request 20 times
    Then it ran at most 5 times and is refused as poison at every node
    And no pledge ran twice and no refusal was wrong
