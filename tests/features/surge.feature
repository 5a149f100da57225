Feature: Overload sheds lookups before pledges and ends with the surge

  Scenario: Demand is many times the capacity of the backend servers
    Given a fleet of 2 hosts with 2 slow slots each
    And 80 callers that send requests without backoff, seed 71
    When 4000 calls have ended during the surge
    Then at least 95 of 100 pledges succeed and most lookups do not
    And lookups succeed again from 5 seconds after the surge
    And no pledge ran twice and no result was wrong
