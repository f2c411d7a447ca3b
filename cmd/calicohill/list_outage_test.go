package main

import (
	"fmt"
	"net/http"
	"testing"
	"time"
)

// Seen: the list service was out of reach for a minute, workers began to drain just after it had gone, and schedulers
// sent them 19,805 requests after the drain counted as announced. The workers rejected all of them; a request lost its
// four attempts at one worker within 2 ms and was rejected, while 22 other workers served.
//
// How it came about: a drain counts as announced 7 s after it was published, whether a poll brought it or not, and the
// grace of the settings later nothing may be sent. A scheduler that cannot poll has to stop by itself.
//
// Cause: the Router took the list for current until the next one came, however old it was. An unanswered poll made the
// planner dial again, and told nobody else. Rejections were read as a full queue: a pause of a part of the service
// time.
//
// Proof: this test. With another worker that takes requests and says so when it is asked for its health, the rule can
// be kept and every request be served.

// publicationBound is how long after its publication a change of the list counts as announced at the latest.
const publicationBound = 7 * time.Second

// drainSlack is what the protocol adds to each time limit.
const drainSlack = 50 * time.Millisecond

// listOutage is an outage of the list service in which a worker begins to drain.
type listOutage struct {
	name  string
	begin func(sched *testScheduler)
	quiet bool // no client sends anything until the drain binds
}

var listOutages = []listOutage{
	{"polls are refused, busy", (*testScheduler).refusePolls, false},
	{"polls are refused, quiet", (*testScheduler).refusePolls, true},
	{"polls are not answered, busy", (*testScheduler).silenceListService, false},
	{"polls are not answered, quiet", (*testScheduler).silenceListService, true},
}

func TestDrainDuringListOutage(t *testing.T) {
	for _, outage := range listOutages {
		t.Run(outage.name, func(t *testing.T) {
			t.Parallel()
			testDrainDuringListOutage(t, outage)
		})
	}
}

func testDrainDuringListOutage(t *testing.T, outage listOutage) {
	t.Helper()
	const grace = 200 * time.Millisecond
	agents := map[string]*nodeAgent{}
	sched := newTestScheduler(t)
	sched.settingsEdits = [][2]string{
		{`"stopSendingWithinMs":1000`, fmt.Sprintf(`"stopSendingWithinMs":%d`, grace.Milliseconds())},
	}
	sched.settings.HealthChecks = true
	var targets []string
	for _, name := range []string{"a", "b", "c"} {
		agents[name] = newAgent(t, answerWith(name))
		targets = append(targets, name+" SERVING "+agents[name].addr)
	}
	sched.addEvent(true, targets...)
	client := sched.start().connect()
	serve := func() clientAnswer {
		client.send(newCall("registro-horas", ""))
		return client.readAnswer()
	}
	warm := serve().body // the worker that has the function loaded, and gets what is called next

	outage.begin(sched)
	draining := agents[warm]
	draining.draining.Store(true)
	binding := time.Now().Add(publicationBound + grace + drainSlack)
	for time.Now().Before(binding) {
		if !outage.quiet {
			serve()
		}
		time.Sleep(10 * time.Millisecond) // the pace of the client
	}

	before := len(draining.received())
	for end := time.Now().Add(publicationBound + grace); time.Now().Before(end); {
		if answer := serve(); answer.status != http.StatusOK || answer.body == warm {
			t.Fatalf("status %d, body %q, want an answer of a worker that does not drain", answer.status, answer.body)
		}
		time.Sleep(10 * time.Millisecond)
	}
	if sent := len(draining.received()) - before; sent > 0 {
		t.Errorf("%d requests sent to a worker after its drain binds, want none", sent)
	}
}
