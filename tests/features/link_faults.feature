Feature: Links between nodes go silent or break

  Scenario: Open connections go silent while new ones work
    Given a fleet of 3 hosts whose links can be cut
    And branches send lookups and pledges, seed 21
    When all open connections between nodes go silent
    Then from 5 seconds after the fault lookups at other nodes are answered in a second
    And calls reach the other nodes over new connections
    And every call has an end within its time
    And no pledge ran twice and no refusal was wrong

  Scenario: A node can't be reached at all for a while
    Given a fleet of 3 hosts whose links can be cut
    And branches send lookups and pledges, seed 22
    When all connections to a node are cut
    Then from 5 seconds after the fault lookups at other nodes are answered in a second
    When the connections work again
    Then all nodes know one another within 10 seconds
    And every call has an end within its time
    And no pledge ran twice and no refusal was wrong
