Feature: Floods of the least and then the most urgent work

  Background:
    Given 3 domains with 3 entry hosts and 10 workers each

  Scenario: The least urgent work floods the fleet
    When team kiosk submits work for 20 % of the slots over 8 seconds
    And team payments submits work for 20 % of the slots over 8 seconds
    And 1 second passes
    And team logistics floods the fleet with 3 times its capacity over 6 seconds
    And 6 seconds pass
    Then at least 95 % of the slots were in use over the last 3 seconds
    When all answers have come
    Then team kiosk keeps 97 % of its throughput without the flood
    And team payments keeps 97 % of its throughput without the flood

  Scenario: The most urgent work floods the fleet
    When team payments submits work for 20 % of the slots over 8 seconds
    And team logistics submits work for 20 % of the slots over 8 seconds
    And 1 second passes
    And team kiosk floods the fleet with 3 times its capacity over 6 seconds
    And 6 seconds pass
    Then at least 95 % of the slots were in use over the last 3 seconds
    When all answers have come
    Then team payments keeps 97 % of its throughput without the flood
    And team logistics keeps 97 % of its throughput without the flood
    And the 99th percentile of other work is at most 1.5 times that without the flood

  Scenario: The most urgent work floods right after the least urgent
    When team payments submits work for 20 % of the slots over 10 seconds
    And 1 second passes
    And team logistics floods the fleet with 3 times its capacity over 4 seconds
    And 4 seconds pass
    And team kiosk floods the fleet with 3 times its capacity over 4 seconds
    And 4 seconds pass
    Then at least 95 % of the slots were in use over the last 2 seconds
    When all answers have come
    Then team payments keeps 97 % of its throughput without the flood
    And every refusal came within 20 ms or before half of the deadline
    And every refusal that says when to come back gives a time above 0

  Scenario: The least urgent work floods the fleet, and other work is hardly slower
    When team kiosk submits work for 20 % of the slots over 8 seconds
    And team payments submits work for 20 % of the slots over 8 seconds
    And 1 second passes
    And team logistics floods the fleet with 3 times its capacity over 6 seconds
    And 6 seconds pass
    And all answers have come
    Then the 99th percentile of other work is at most 1.5 times that without the flood
