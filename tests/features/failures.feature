Feature: Guarantees that hold while processes die, freeze and fall silent

  Scenario: An agent is killed while an order is in flight
    Given a deployment of two entries and three agents
    And the storefront takes 800 ms for a call
    When a caller sends the order "kill-1" to entry-1 in the background
    And agent-3 is killed once the storefront has the order "kill-1"
    Then the background answer does not say that the order was not run
    When agent-3 is started again
    And a caller sends the order "kill-1" to entry-2 until it is not in progress
    Then the storefront ran the order "kill-1" once

  Scenario: An entry is killed while an order is in flight
    Given a deployment of two entries and three agents
    And the storefront takes 800 ms for a call
    When a caller sends the order "kill-2" to entry-1 in the background
    And entry-1 is killed once the storefront has the order "kill-2"
    And a caller sends the order "kill-2" to entry-2 until it is not in progress
    Then the last answer to the order has status 201
    And the storefront ran the order "kill-2" once

  Scenario: The storefront loses its answer
    Given a deployment of two entries and three agents
    And the storefront loses its next answer
    When a caller sends the order "lost-1" to entry-1
    Then the order was answered as unknown
    When a caller sends the order "lost-1" to entry-2
    Then the order was answered as unknown
    And the storefront ran the order "lost-1" once

  Scenario: The object API is out
    Given a deployment of two entries and three agents
    And an idempotency key issued by entry-1
    And the object API is out
    When a caller asks entry-1 for a completion of 8 tokens
    Then the answer has 8 tokens and names the version that the engine reports
    When a caller sends an order with the issued key to entry-1
    Then the order was answered with status 201
    When a caller sends the order "out-1" to entry-1
    Then the order was refused and the storefront never ran "out-1"
    When the object API is back
    And a caller sends the order "out-1" to entry-1
    Then the order was answered with status 201
    And the storefront ran the order "out-1" once

  Scenario: The object API loses the answer to a claim
    Given a deployment of two entries and three agents
    And the object API loses the answers to the next 2 writes
    When a caller sends the order "claim-1" to entry-1
    And a caller sends the order "claim-1" to entry-2 until it is not in progress
    Then the storefront ran the order "claim-1" once

  Scenario: An engine breaks a stream in the middle
    Given a deployment of two entries and three agents
    And engine-1 breaks each stream after 5 tokens
    When a caller asks entry-1 for a streamed completion of 30 tokens
    Then the stream is complete
    And the stream has exactly 30 tokens

  Scenario: A connection between entry and agent goes silent
    Given a deployment whose storefront agent is reached through a forwarder
    When the forwarder goes silent on open connections
    And a caller sends the order "silent-1" to entry-1 with a timeout of 15 seconds
    Then the order was answered with status 201
    And the storefront ran the order "silent-1" once

  Scenario: A call reaches its agent after another entry refused the same key
    Given a deployment whose storefront agent is reached through a forwarder
    And entry-2 that does not reach the agent behind the forwarder
    When the forwarder holds everything back
    And a caller sends the order "held-1" to entry-1 in the background
    And entry-1 has placed a call
    And a caller sends the order "held-1" to entry-2
    Then the order was refused and the storefront never ran "held-1"
    When the forwarder delivers what it held back, and accepts new connections
    Then the order was refused and the storefront never ran "held-1"
    When a caller sends the order "held-1" to entry-2 until it is not in progress
    Then the storefront ran the order "held-1" once

  Scenario: An agent is frozen and thawed
    Given a deployment of two entries and three agents
    When agent-1 is frozen for 8 seconds while 20 completions with a timeout of 15 seconds run
    Then every completion was answered completely

  Scenario: A coordinating entry is killed in the middle of a step
    Given a deployment of two entries and three agents
    When trainer "t2" creates step 1 with 4 prompts of 8 samples at entry-1
    And the trainer pulls 1 batch of 5 samples from entry-1
    And entry-1 is killed
    And the trainer pulls the rest from entry-2
    Then the trainer received every slot exactly once
    And every sample names only versions that its engine ran

  Scenario: An entry is killed that coordinates one part of a step
    Given a deployment of two entries and three agents with parts of 16 samples
    When trainer "t3" creates step 1 with 4 prompts of 8 samples at entry-1
    And the trainer pulls 1 batch of 5 samples from entry-1
    And the trainer pulls 1 batch of 5 samples of part 1 from entry-2
    Then entry-1 and entry-2 coordinate one part each
    When entry-1 is killed
    And the trainer pulls the rest of all parts from entry-2
    Then the trainer received every slot exactly once
    And every sample names only versions that its engine ran

  Scenario: SIGTERM to an entry cuts off nothing in flight
    Given a deployment of two entries and three agents
    When 10 streams of 200 tokens run through entry-1 and it gets SIGTERM
    Then every stream is complete
    And entry-1 has ended with code 0

  Scenario: SIGTERM to an entry is not held up by a slow object API
    Given a deployment of one entry and three agents
    And entry-1 holds all leases
    And the object API answers after 10000 ms
    When entry-1 gets SIGTERM
    Then entry-1 has ended with code 0 within 8 seconds

  Scenario: SIGTERM to an agent cuts off nothing in flight and no new work arrives after 3 seconds
    Given a deployment of two entries and three agents
    When 10 streams of 200 tokens run through entry-1 and agent-1 gets SIGTERM
    Then every stream is complete
    And agent-1 has ended with code 0

  Scenario: A leaving VM gets no new work after 3 seconds
    Given a deployment of two entries and three agents
    When the VM list says that agent-1 is leaving
    Then engine-1 gets no new work after 3 seconds

  Scenario: Weights roll out although a swap fails and an answer is lost
    Given a deployment of two entries and three agents
    And engine-1 fails its next order
    And engine-2 loses its next order's answer
    When version 5 of the weights is published
    Then every engine serves version 5 within 28 seconds

  Scenario: An entry started in an outage serves through the agents in its settings
    Given a deployment of two entries and three agents
    When the example configuration is applied
    Then its revision is in force on every process within 12 seconds
    Given the object API is out
    When entry-3 is started with all agents as peers
    Then its revision is in force on entry-3 within 12 seconds
    When a caller asks entry-3 for a completion of 8 tokens
    Then the answer has 8 tokens and names the version that the engine reports
    When the object API is back
    And a caller sends the order "late-1" to entry-3 until it is not in progress
    Then the storefront ran the order "late-1" once

  Scenario: A process started in an outage takes the configuration from its peers
    Given a deployment of two entries and three agents
    When the example configuration is applied
    Then its revision is in force on every process within 12 seconds
    Given the object API is out
    When agent-1 is killed
    And agent-1 is started again
    Then its revision is in force on agent-1 within 12 seconds
