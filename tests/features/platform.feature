Feature: The whole path on the users' platform, with gateways as separate processes

  Scenario: Calls, steps and new weights
    Given a platform with 2 gateways
    When a client sends 4 "safe" calls to each gateway
    Then each call was answered by the server that ran it
    When a trainer submits step "s1" to gateway-1
    Then every result of step "s1" is complete and names the versions that made it
    When the trainer names version 2
    Then one holder's orders bring every engine to version 2 within 8 seconds
    When a trainer submits step "s2" on version 2 and newer to gateway-2
    Then every result of step "s2" is complete and names the versions that made it

  Scenario: The gateway that runs a step is killed
    Given a platform with 2 gateways
    When a trainer submits step "s1" to gateway-1
    And gateway-1 is killed
    Then every result of step "s1" is complete and names the versions that made it

  Scenario: The gateway that runs a step is told to stop
    Given a platform with 2 gateways
    When a trainer submits step "s1" to gateway-1
    And gateway-1 is terminated
    Then every result of step "s1" is complete and names the versions that made it
    And gateway-1 ended by itself without cutting a request off

  Scenario: A gateway is told to stop while the store hangs, under load
    Given a platform with 2 gateways
    When a trainer submits step "s1" to gateway-1
    And every shop takes 300 ms longer
    And clients call gateway-1 over kept connections from now on
    And the store takes 5000 ms longer
    And gateway-1 is terminated
    Then gateway-1 ended by itself without cutting a request off
    And every call that was sent on a kept connection was answered or refused

  Scenario: A gateway is told to stop while new connections keep coming
    Given a platform with 2 gateways
    When every shop takes 200 ms longer
    And clients call gateway-1 over new connections from now on
    And gateway-1 is terminated
    Then gateway-1 ended by itself without cutting a request off
    And every call that gateway-1 let in was answered or refused

  Scenario: An unsafe call whose answer is lost is not run again
    Given a platform with 2 gateways
    When every shop loses its next answer
    And a client sends an "unsafe" call to gateway-1
    Then the client is not told that the call was not run
    And the call was run once

  Scenario: A broken stream goes on at the next event
    Given a platform with 1 gateway
    When every engine breaks its next stream off in the middle
    And a trainer submits step "s1" to gateway-1
    Then every result of step "s1" is complete and names the versions that made it
    And some run went on after an event that was already received

  Scenario: Calls that score texts fail, are lost and are always answered with a failure
    Given a platform with 2 gateways
    When every shop loses its next answer
    And a trainer submits step "s1" to gateway-1
    Then every result of step "s1" is complete and names the versions that made it
    And no item of step "s1" ran twice
    When every shop fails the reward call of item "s2-0-1"
    And a trainer submits step "s2" to gateway-2
    Then only item "s2-0-1" of step "s2" is given up

  Scenario: The store loses answers and is out for a while
    Given a platform with 2 gateways
    When the store loses 4 answers
    And a trainer submits step "s1" at any gateway until one accepts it
    And the store is out for 2 seconds
    Then every result of step "s1" is complete and names the versions that made it

  Scenario: A submission in an outage is refused at once and never runs
    Given a platform with 2 gateways
    When the store is out
    And a trainer submits step "s1" to gateway-1, which is refused
    And the store is back
    Then step "s1" is known to no gateway and none of its items has run

  Scenario: A leaving server gets nothing new
    Given a platform with 2 gateways
    When shop-1 is registered as leaving
    And 3 seconds pass
    And a client sends 4 "safe" calls to each gateway
    Then shop-1 has run nothing

  Scenario: An ended step starts no more items
    Given a platform with 2 gateways
    When a trainer submits step "s1" to gateway-1
    And step "s1" is ended at gateway-2
    And 1 second passes
    Then no item of step "s1" starts within 1 second

  Scenario: The holder of the duties is killed while usage is reported
    Given a platform with 4 gateways that reports the usage of "alpha, beta"
    When clients of "alpha" and "beta" send calls to the gateways for 5 seconds
    And the holder of the duties is killed
    And clients of "alpha" and "beta" send calls to the gateways for 12 seconds
    Then each window is reported in time, never with different counts, and with every run

  Scenario: The platform's duties do not answer for a while
    Given a platform with 3 gateways that reports the usage of "alpha, beta"
    When clients of "alpha" and "beta" send calls to the gateways for 5 seconds
    And the duties are busy
    And clients of "alpha" and "beta" send calls to the gateways for 3 seconds
    And the duties are silent
    And clients of "alpha" and "beta" send calls to the gateways for 5 seconds
    And the duties answer again
    And the clocks of the gateways go on for 12 seconds
    Then each window is reported, never with different counts, and with every run

  Scenario: Servers follow the demand while the holder of the duties is killed between two orders
    Given a platform with 3 gateways that order from 1 to 3 servers
    When 10 clients keep calling
    Then 2 servers run and each is used
    When the duties are busy
    And 16 clients keep calling
    And an order of 3 servers was sent
    And the holder of the duties is killed
    And the duties answer again
    Then 3 servers run and each is used
    When the killed gateway is started again
    And 5 clients keep calling
    Then 1 servers run and each is used
    And no call was lost and no order contradicts another one

  Scenario: A gateway that aborts is reported by its next process, and a planned stop is not
    Given a platform with 2 gateways
    When 1 second passes
    And gateway-1 aborts and is started again
    And gateway-2 is terminated and started again
    Then gateway-1 reports that its former process ended by itself, and its log has the stack
    And gateway-2 reports no such end
