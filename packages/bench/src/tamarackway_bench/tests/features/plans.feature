Feature: An accepted plan is in force everywhere and never reverts

  Background:
    Given a fleet with the sheet in force

  Scenario: A plan is in force everywhere within two seconds
    When the sheet is submitted with 70 percent for Moravia
    Then all entry instances have version 2 within 2 seconds

  Scenario: The platform fails right after the acceptance
    When the sheet is submitted with 70 percent for Moravia
    And the table goes down
    Then all entry instances have version 2 within 2 seconds

  Scenario: The answer to the acceptance is lost
    When the table loses its answers for 1 second while the sheet is submitted
    Then the sheet was accepted or refused as the history says

  Scenario: Two operators race
    When two operators submit different sheets from version 1 at once
    Then exactly one of them is accepted
    And the other is told of a conflict with the rows that differ

  Scenario: A frozen entry instance comes back
    When entry instance 2 freezes
    And the sheet is submitted with 70 percent for Moravia
    And 3 seconds pass
    And entry instance 2 goes on
    Then all entry instances have version 2 within 2 seconds
    And a request to entry instance 2 right after it goes on is served by version 2

  Scenario: An entry instance restarts while the table is down
    When the sheet is submitted with 70 percent for Moravia
    And the table goes down
    And entry instance 3 is killed
    And entry instance 3 is started anew
    Then all entry instances have version 2 within 10 seconds

  Scenario: A region is cut off while a plan is accepted
    When region Silesia is cut off
    And the sheet is submitted with 70 percent for Moravia
    And 2 seconds pass
    And all links work again
    Then all entry instances have version 2 within 5 seconds

  Scenario: A faulty sheet changes nothing
    When a faulty sheet is submitted
    Then all its faults are told with their rows
    And all entry instances have version 1 within 1 second
