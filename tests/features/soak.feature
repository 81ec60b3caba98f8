Feature: Promises of gateways under random faults from outside them

  Scenario Outline: A seeded soak breaks no promise
    When a soak with seed <seed> lasts <seconds> seconds
    Then no promise is broken

    Examples:
      | seed | seconds |
      | 1    | 12      |
