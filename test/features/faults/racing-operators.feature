Feature: Operators race each other

  Background:
    Given 5 hosts around one store

  Scenario: Two operators publish at once
    When hosts 1 and 2 publish at once
    Then 1 publication is published
    And 1 publication is told what won
    And each loser is told the generation, publisher and time that won
    And all hosts have generation 1 within 7 seconds

  Scenario: Five operators publish at once
    When hosts 1, 2, 3, 4 and 5 publish at once
    Then 1 publication is published
    And 4 publications are told what won
    And each loser is told the generation, publisher and time that won
    And all hosts have generation 1 within 7 seconds

  Scenario: Operators publish one after the other
    When host 1 publishes
    And host 4 publishes
    And host 2 publishes
    Then 3 publications are published
    And all hosts have generation 3 within 7 seconds

  Scenario: Rounds of races
    When hosts 1 and 2 publish at once
    And hosts 3 and 4 publish at once
    And hosts 5 and 1 publish at once
    Then 3 publications are published
    And the store holds generation 3
    And all hosts have generation 3 within 7 seconds
