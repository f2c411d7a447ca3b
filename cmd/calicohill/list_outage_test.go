package main

import (
	"fmt"
	"net/http"
	"testing"
	"time"
)

// publicationBound is the time after its publication at which a change of the list counts as announced, even if no poll
// has delivered it.
const publicationBound = 7 * time.Second

// drainSlack is the tolerance that the protocol adds to each time limit.
const drainSlack = 50 * time.Millisecond

// listOutage is an outage of the list service during which a worker starts to drain.
type listOutage struct {
	name  string
	begin func(sched *testScheduler)
	quiet bool // clients send no requests until the worker must not get any
}

var listOutages = []listOutage{
	{"polls are refused, busy", (*testScheduler).refusePolls, false},
	{"polls are refused, quiet", (*testScheduler).refusePolls, true},
	{"polls are not answered, busy", (*testScheduler).stopAnsweringPolls, false},
	{"polls are not answered, quiet", (*testScheduler).stopAnsweringPolls, true},
}

// TestDrainDuringListOutage guards against requests to workers that start to drain during an outage of the list
// service. In an outage of one minute, schedulers sent 19,805 requests to such workers after the drain counted as
// announced. The workers rejected all of them. A request used up its four attempts at one worker within 2 ms and was
// rejected, while 22 other workers were serving.
//
// A drain counts as announced 7 s after its publication, whether a poll has delivered it or not. Once the drain grace
// has passed after that, the worker must get no requests. A scheduler that can't poll has to stop sending without being
// told.
//
// In the original fault the Router regarded the list as current until the next one arrived, however old it was. After
// an unanswered poll the planner dialed again but notified no other component. Rejections were interpreted as a full
// queue, with a pause of a fraction of the service time.
//
// While another worker accepts requests and confirms that in its health checks, a scheduler can serve every request
// without sending any to a draining worker.
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
	sendRequest := func() clientAnswer {
		client.send(newCall("registro-horas", ""))
		return client.readAnswer()
	}
	warm := sendRequest().body // the worker that has the function loaded and gets the next calls

	outage.begin(sched)
	draining := agents[warm]
	draining.draining.Store(true)
	binding := time.Now().Add(publicationBound + grace + drainSlack)
	for time.Now().Before(binding) {
		if !outage.quiet {
			sendRequest()
		}
		time.Sleep(10 * time.Millisecond) // interval between requests
	}

	before := len(draining.received())
	for end := time.Now().Add(publicationBound + grace); time.Now().Before(end); {
		if answer := sendRequest(); answer.status != http.StatusOK || answer.body == warm {
			t.Fatalf("status %d, body %q, want an answer from a worker that is not draining", answer.status, answer.body)
		}
		time.Sleep(10 * time.Millisecond)
	}
	if sent := len(draining.received()) - before; sent > 0 {
		t.Errorf("%d requests sent to a worker after the end of its drain grace, want none", sent)
	}
}
