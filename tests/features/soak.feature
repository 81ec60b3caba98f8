Feature: Promises of gateways under random faults from outside them

  Scenario Outline: A seeded soak breaks no promise
    When a soak with seed <seed> lasts <seconds> seconds
    Then no promise is broken

    Examples:
      | seed | seconds |
      | 1    | 12      |

  Scenario Outline: A seeded soak loses gateways that take batches over
    When a soak of <gateways> gateways with seed <seed> lasts <seconds> seconds
    Then no promise is broken

    Examples:
      | gateways | seed | seconds |
      | 6        | 5    | 3       |
