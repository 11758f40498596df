Feature: The path of a request through separate processes

    Background:
        Given a fleet of 3 daemons for the Authority

    Scenario: a read at any daemon gets the answer to itself
        When a caller sends 60 reads spread over all daemons
        Then each answer names the path of its own request

    Scenario: a payment with a key that is sent twice runs once
        When a caller sends a payment with one key to each daemon in turn
        Then every answer says "executed"
        And the upstreams executed the payment 1 time

    Scenario: a key that the fleet did not issue is refused and nothing runs
        When a caller sends a payment with the key "made-up"
        Then the problem has code 2006 and outcome "not-executed"
        And the upstreams executed the payment 0 times

    Scenario: a new configuration comes into force at every daemon
        When the operators publish a configuration with the team "night shift"
        Then every daemon has the team "night shift" in force within 16 s

    Scenario: an invalid configuration changes nothing and every daemon reports it
        When the operators publish a configuration with the floor of a service above its members
        Then every daemon reports that it rejected version 2 within 16 s
        And every daemon still has version 1 in force

    Scenario: the platform serves an older configuration
        When the operators publish a configuration with the team "night shift"
        And the platform then offers version 1 again
        Then every daemon has the team "night shift" in force for the next 3 s

    Scenario: a drained daemon cuts no request
        When callers keep sending reads while an operator drains daemon 1
        Then no request of the callers was cut
        And the drain reports success
