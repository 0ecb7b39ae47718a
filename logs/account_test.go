package logs

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// recordedLines is a log with a program for each cause.
const recordedLines = `
{"event":851,"program":"a","request":"1","customer":"c","route":"r","age":100,"time":"2026-12-04T10:00:01Z","vm":"e1"}
{"event":852,"code":"rate-exceeded","program":"a","request":"2","customer":"c","route":"r","age":1,"time":"2026-12-04T10:00:02Z","vm":"e2"}
{"event":852,"code":"rate-exceeded","program":"a","request":"3","customer":"c","route":"r","age":1,"time":"2026-12-04T10:00:03Z","vm":"e2"}
{"event":852,"code":"rate-exceeded","program":"b","request":"4","customer":"c","route":"r","age":1,"time":"2026-12-04T10:00:03Z","vm":"e2"}
{"event":852,"code":"too-many-programs","program":"d","request":"5","customer":"c","route":"r","age":1,"time":"2026-12-04T10:00:03Z","vm":"e1"}
{"event":851,"program":"d","request":"6","customer":"c","route":"r","age":100,"time":"2026-12-04T10:00:04Z","vm":"e1"}
{"event":853,"error":"reset","program":"f","request":"7","customer":"e","route":"s","age":1,"time":"2026-12-04T10:00:03Z","vm":"e1"}
{"event":852,"code":"upstream-error","program":"f","request":"7","customer":"e","route":"s","age":2,"time":"2026-12-04T10:00:03.1Z","vm":"e1"}
{"event":852,"code":"busy","program":"g","request":"8","customer":"e","route":"s","age":1,"time":"2026-12-04T10:00:03Z","vm":"e1"}
{"event":852,"code":"not-ready","program":"h","request":"9","customer":"e","route":"s","age":1,"time":"2026-12-04T10:00:03Z","vm":"e1"}
{"event":852,"code":"deadline-exceeded","program":"i","request":"10","customer":"e","route":"s","age":1,"time":"2026-12-04T10:00:03Z","vm":"e1"}
{"event":851,"program":"j","request":"11","customer":"e","route":"s","age":900,"time":"2026-12-04T10:00:03Z","vm":"e1"}
{"event":852,"code":"bad-request","program":"k","request":"12","customer":"e","route":"s","age":1,"time":"2026-12-04T10:00:03Z","vm":"e1"}
{"event":854,"program":"l","request":"13","customer":"e","route":"s","age":1,"time":"2026-12-04T10:00:03Z","vm":"e1"}
not a log line
`

// Each cause must get its own row, with the programs that it ended told from those that went on.
func TestAccount(t *testing.T) {
	for by, want := range map[Grouping][]string{
		ByCustomer: {
			"rate in the middle of a program c 2 1 1", "rate at the first request c 1 1 1", "too many programs of the customer c 1 1 0",
			"failed instance e 2 1 1", "no instance e 1 1 1", "records or configuration not ready e 1 1 1", "deadline e 1 1 1",
			"slow answer e 1 1 1", "other refusal e 1 1 1", "caller disconnected e 1 1 1",
		},
		ByRoute:  {"rate in the middle of a program r 2 1 1", "failed instance s 2 1 1"},
		BySecond: {"rate in the middle of a program    1 1 1 0", "rate in the middle of a program    2 1 1 1"},
	} {
		t.Run(string(by), func(t *testing.T) {
			is := is.New(t)
			rows, programs, unparsed, err := Account(by, 500*time.Millisecond, strings.NewReader(strings.TrimSpace(recordedLines)))
			is.NoErr(err)
			is.Equal(programs, 10)
			is.Equal(unparsed, 1)
			got := map[string]bool{}
			for _, r := range rows {
				got[fmt.Sprintf("%s %s %d %d %d", r.Cause, r.Group, r.Requests, r.Programs, r.Ended)] = true
			}
			for _, row := range want {
				is.True(got[row])
			}
			if by == ByCustomer {
				is.Equal(len(got), len(want))
			}
		})
	}
}

// departureLines is a log of requests whose instances leave: "m" is moved after the answer that said so, "n" before its VM is told by
// another one, and "p" is refused since all leave. "q" and "s" fail for other reasons: long before the word, and at a VM that has no word.
const departureLines = `
{"event":864,"by":"answer","instance":"i1","program":"k","request":"1","customer":"c","time":"2026-12-04T10:00:01Z","vm":"e1"}
{"event":851,"program":"k","request":"1","customer":"c","age":9,"time":"2026-12-04T10:00:01.01Z","vm":"e1"}
{"event":853,"instance":"i1","ran":false,"error":"instance said that it leaves before the request was sent","program":"m","request":"2","customer":"c","time":"2026-12-04T10:00:01.1Z","vm":"e1"}
{"event":851,"program":"m","request":"2","customer":"c","age":20,"time":"2026-12-04T10:00:01.2Z","vm":"e1"}
{"event":853,"instance":"i2","ran":true,"error":"reset","program":"n","request":"3","customer":"c","time":"2026-12-04T10:00:02Z","vm":"e2"}
{"event":864,"by":"peer","instance":"i2","time":"2026-12-04T10:00:02.3Z","vm":"e2"}
{"event":852,"code":"busy","departing":true,"program":"p","request":"4","customer":"c","time":"2026-12-04T10:00:03Z","vm":"e1"}
{"event":853,"instance":"i2","ran":true,"error":"reset","program":"q","request":"5","customer":"c","time":"2026-12-04T09:59:00Z","vm":"e2"}
{"event":853,"instance":"i1","ran":true,"error":"reset","program":"s","request":"6","customer":"c","time":"2026-12-04T10:00:01.1Z","vm":"e2"}
{"event":852,"code":"busy","program":"u","request":"7","customer":"c","time":"2026-12-04T10:00:03Z","vm":"e1"}
`

// Requests that are moved or refused as instances leave must not count as failures of instances or lack of them: operators looked for a
// fault where a release ran.
func TestAccountOfDepartures(t *testing.T) {
	is := is.New(t)
	rows, programs, _, err := Account(ByCustomer, 0, strings.NewReader(strings.TrimSpace(departureLines)))
	is.NoErr(err)
	is.Equal(programs, 7)
	got := map[Cause]int{}
	for _, r := range rows {
		got[r.Cause] = r.Requests
	}
	is.Equal(got, map[Cause]int{CauseDeparted: 2, CauseAllDepart: 1, CauseFailedInstance: 2, CauseNoInstance: 1})
}
