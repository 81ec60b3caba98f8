Feature: Requests served from end to end by separate processes

  Scenario: The main kinds of work succeed through either entry
    Given a deployment of two entries and three agents
    When a caller asks entry-1 for a completion of 8 tokens
    Then the answer has 8 tokens and names the version that the engine reports
    When a caller asks entry-2 for a streamed completion of 30 tokens
    Then the stream is complete
    When a caller sends the order "jersey-1" to entry-1
    Then the order was answered with status 201
    And the storefront ran the order "jersey-1" once
    When a caller sends the order "jersey-1" to entry-2
    Then both answers to the order are the same
    And the storefront ran the order "jersey-1" once
    When trainer "t1" runs step 1 with 3 prompts of 4 samples
    Then the trainer received every slot exactly once

  Scenario: A new weight version reaches every engine and labels the samples made by it
    Given a deployment of two entries and three agents
    When version 5 of the weights is published
    Then every engine serves version 5 within 28 seconds
    When trainer "t1" runs step 1 with 2 prompts of 2 samples
    Then every sample names only versions that its engine ran

  Scenario: A cached prompt is known to the entry that sent it and by report to the other
    Given a deployment of two entries and three agents
    Then entry-1 places a repeated prompt by its cached prefix within 10 seconds
    And entry-2 places it by its cached prefix at the first request

  Scenario: A longer heartbeat interval is taken over without losing a connection
    Given a deployment of two entries and three agents
    When the example configuration is applied with a heartbeat interval of 7000 ms
    Then its revision is in force on every process within 12 seconds
    And entry-1 has lost no connection after 15 seconds

  Scenario: An accepted configuration is in force on every process and a lost race is told
    Given a deployment of two entries and three agents
    When the example configuration is applied
    Then its revision is in force on every process within 12 seconds
    When two operators apply changes that were made from the same revision
    Then exactly one of them is accepted
    And the accepted revision is in force on every process within 12 seconds
