"""The grammar of the scenario language, for lark.

One statement a line; `#` begins a comment. Words in upper case are terminals.
The parser is LALR with a contextual lexer, so that a keyword may be a name
where no keyword can stand.
"""

GRAMMAR = r"""
start: _NL* (_statement _NL+)* _statement?

_statement: title | seed | duration | place | entries | service | customer
          | setting | load | timed | awaited | expectation

title: "scenario" TEXT
seed: "seed" INTEGER
duration: "run" "for" TIME
place: "place" NAME "in" NAME
entries: INTEGER ("entry" | "entries") "in" NAME
service: KIND "service" NAME "with" INTEGER ("worker" | "workers")
customer: "customer" NAME "weight" _number
setting: "set" NAME "=" JSON

load: "load" NAME ":" rate LOAD_KIND "to" NAME "from" TIME "to" TIME _option*
rate: _number "/s"
_option: customer_option | priority_option | deadline_option | tries_option
       | place_option
customer_option: "for" NAME
priority_option: "priority" PRIORITY
deadline_option: "within" TIME
tries_option: "tries" INTEGER
place_option: "in" NAME

timed: "at" TIME _actions
awaited: "when" condition _actions
_actions: action ("," action)*
?action: declare | change | part_fault | part_slow | part_counted
       | process_fault | cut | join
declare: "declare" NAME NAME
change: "change" NAME "=" JSON
part_fault: PART_FAULT PART
part_slow: "slow" PART "by" TIME
part_counted: COUNTED_FAULT INTEGER _calls "of" PART
_calls: "answer" | "answers" | "read" | "reads"
process_fault: (PROCESS_FAULT | PART_FAULT) _process
_process: entry_process | worker_process
entry_process: "entry" INTEGER
worker_process: "worker" INTEGER "of" NAME
cut: "cut" NAME "from" NAME
join: "join" NAME "with" NAME

expectation: "expect" [moment] condition
moment: "finally" -> finally_
      | "always" -> always
      | "by" TIME -> by
      | "at" TIME -> at
condition: quantity COMPARISON bound
?quantity: outcome | reasoned | ledger | serving | in_force | counter
         | copies | runs
outcome: OUTCOME ["of" NAME]
reasoned: REASONED ["of" NAME] ["because" NAME]
ledger: LEDGER
serving: "serving" NAME NAME
in_force: "in-force" NAME JSON_WORD
counter: "counter" NAME ["at" _process]
copies: "origin-copies" "of" NAME
runs: "runs" "of" NAME
?bound: percent | everyone | plain
percent: _number "%"
everyone: "all"
plain: _number | TIME
_number: INTEGER | DECIMAL

TEXT: /"[^"\n]*"/
KIND: "model" | "plain"
LOAD_KIND: "completions" | "streams" | "lookups" | "bookings" | "poison"
PRIORITY: "low" | "normal" | "high"
PART: "log" | "instances" | "store" | "origin"
PART_FAULT: "down" | "stall" | "truncate" | "heal"
COUNTED_FAULT: "lose" | "corrupt"
PROCESS_FAULT: "kill" | "start" | "drain" | "pause" | "wake" | "crash"
OUTCOME: "offered" | "answered" | "late" | "p99"
REASONED: "not-run" | "unknown"
LEDGER: "doubled" | "lost" | "crossed" | "cut-off" | "false-not-run" | "wrong"
      | "mixed"
COMPARISON: "<=" | ">=" | "=" | "<" | ">"
JSON: /[^\s#,][^\n#]*/
TIME.3: /\d+(\.\d+)?(ms|s|min)(?![\w.-])/
DECIMAL.2: /\d+\.\d+(?![\w.-])/
INTEGER.1: /\d+(?![\w.-])/
NAME: /[a-z0-9][A-Za-z0-9_.-]*/
JSON_WORD: /[^\s#]+/
_NL: /\r?\n[ \t]*/
COMMENT: /#[^\n]*/
%ignore COMMENT
%ignore /[ \t]+/
"""
