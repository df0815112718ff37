Feature: Bad input gets a clear error and harms nothing

  Background:
    Given a fleet with the sheet in force

  Scenario Outline: Bad requests
    When a bad request is sent: <kind>
    Then the last reply has status <status> and error <error>
    And an ordinary look-up is answered

    Examples:
      | kind             | status | error           |
      | unknown service  | 404    | unknown-service |
      | unknown path     | 404    | unknown-path    |
      | large body       | 413    | body-too-large  |
      | bad deadline     | 400    | malformed       |
      | report, no key   | 400    | key-missing     |
      | report, bad key  | 400    | key-invalid     |
      | report, old key  | 410    | key-expired     |

  Scenario: Strangers on the peers' address
    When a stranger sends garbage to the peers' address
    And a stranger connects to the peers' address without a key
    Then the stranger learnt nothing
    And an ordinary look-up is answered
    And the log tells of the stranger

  Scenario: Wrong tokens
    When the plan is asked for with a wrong token
    Then the last reply has status 401 and error unauthorized
    And callers do not reach the administration

  Scenario: A fresh entry instance that can learn no plan is not ready
    When an entry instance is started without platform and peers
    Then it is not ready and says why

  Scenario: A decision is explained in the words of the sheet
    When a look-up is sent to entry instance 1
    Then another entry instance explains it with the rows of the sheet
