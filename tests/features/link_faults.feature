Feature: Connections between nodes stall or fail

  Scenario: Open connections stall while new ones work
    Given a fleet of 3 hosts with a fault proxy between the nodes
    And branches send lookups and pledges, seed 21
    When all open connections between nodes stall
    Then from 5 seconds after the fault, lookups at other nodes succeed within 1 second
    And calls reach all backend servers over new connections
    And every call ends within its deadline
    And no pledge ran twice and no result was wrong

  Scenario: A node is unreachable for a while
    Given a fleet of 3 hosts with a fault proxy between the nodes
    And branches send lookups and pledges, seed 22
    When all connections to a node are reset and refused
    Then from 5 seconds after the fault, lookups at other nodes succeed within 1 second
    When the connections work again
    Then all nodes have the full membership within 10 seconds
    And every call ends within its deadline
    And no pledge ran twice and no result was wrong
