Feature: What must always hold, under failure of real processes

    Background:
        Given a fleet of 3 daemons for the Authority

    Scenario Outline: payments while <fault>
        When callers send payments <with> a key while <fault>
        Then the history holds for at-most-once, truthful-outcome and own-answer
        And at least 20 payments were executed

        Examples:
            | with    | fault                                         |
            | with    | an owner is killed and started again          |
            | with    | an owner is stopped for 2 s and resumed       |
            | without | an owner is stopped for 2 s and resumed       |
            | with    | the replies of an owner are lost for 2 s      |
            | without | the replies of an owner are lost for 2 s      |
            | with    | the requests to an owner are lost for 2 s     |
            | with    | an upstream is killed                         |
            | without | an upstream cuts half of its answers          |

    Scenario: a daemon that starts while the platform is absent learns from the others
        Given the operators publish a configuration with the team "night shift"
        And every daemon has the team "night shift" in force within 16 s
        When the platform is absent
        And daemon 2 is killed and started again with daemon 1 as its peer
        Then every daemon has the team "night shift" in force within 16 s

    Scenario: operators who publish at the same time leave one configuration in force
        When 6 operators publish configurations at the same time
        Then every daemon has the last version in force within 16 s

    Scenario: a gray upstream leaves the rotation while callers read
        Given the service accounts has a floor of 2
        When upstream "accounts-2" becomes slow while callers read
        Then every daemon has upstream "accounts-2" out of rotation within 10 s

    Scenario: a gray upstream leaves the rotation while healthy ones are slow by chance
        Given the service accounts has a floor of 2
        And upstream "accounts-1" is slow in one of 60 requests
        And upstream "accounts-3" is slow in one of 60 requests
        When upstream "accounts-2" becomes slow while callers read
        Then every daemon has upstream "accounts-2" out of rotation within 10 s

    Scenario: the floor keeps a gray upstream in rotation when too few upstreams are live
        Given the service accounts has a floor of 3
        When upstream "accounts-2" becomes slow while callers read
        Then every daemon keeps upstream "accounts-2" in rotation for 4 s
