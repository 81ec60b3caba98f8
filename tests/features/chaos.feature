Feature: Guarantees that hold under random failures, alone and two at once

  Scenario Outline: A seeded chaos run breaks no guarantee
    When a chaos run with seed <seed> lasts <seconds> seconds
    Then the oracle finds no broken guarantee

    Examples:
      | seed | seconds |
      | 136  | 26      |
      | 174  | 26      |
