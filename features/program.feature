Feature: The program

    Scenario: the executable starts
        When the program is run with "codes"
        Then its exit code is 0
