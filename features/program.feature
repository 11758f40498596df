Feature: The program

    Scenario Outline: a mistake on the command line ends with one line before any port opens
        When the program is run with "<arguments>"
        Then its exit code is 2
        And it prints one line on standard error that contains "<text>"

        Examples:
            | arguments                                | text                        |
            | serve                                    | ZINNIAGLADE_DAEMON_ID       |
            | serve --daemon-id=a --no-such=1          | --no-such                   |
            | serve --daemon-id=a/b                    | --daemon-id                 |
            | show --admin-address=localhost:1         | --admin-address             |

    Scenario: the codes are listed
        When the program is run with "codes"
        Then its exit code is 0
        And it prints "2003"

    Scenario: a valid configuration passes the check
        When the program is run with "check demo/authority.yaml"
        Then its exit code is 0

    Scenario Outline: a mistake in a configuration is named with its line and column
        Given the configuration "demo/authority.yaml" with "<before>" replaced by "<after>"
        When the program checks it
        Then its exit code is 1
        And it prints a problem with code <code> at line <line>

        Examples:
            | before                  | after                        | code | line |
            | members: 12             | member: 12                   | 4002 | 33   |
            | dependsOn: [accounts]   | dependsOn: [acounts]         | 4005 | 32   |
            | floor: 8                | floor: 13                    | 4007 | 35   |
            | deadlineMs: 5000        | deadlineMs: -1               | 4004 | 50   |
