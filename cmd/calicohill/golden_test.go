package main

import (
	"flag"
	"fmt"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"

	"calicohill/internal/testbed/golden"
)

// goldenFile contains all exchanges.
//
// The file was recorded before identifiers in the code were renamed, and proves that no renaming changed a byte on the
// wire. Never record it again to make a test pass. Only a commit that states a protocol change may change the file:
// remove it and record it again with -record.
const goldenFile = "exchanges.txt"

// The only parts of messages that differ between runs. The recorder replaces them with placeholders.
var (
	timeoutField = regexp.MustCompile(`,patience=([1-9][0-9]{0,3})([, ])`)
	hostHeader   = regexp.MustCompile(`\r\nHost: 127\.0\.0\.1:[0-9]{1,5}\r\n`)
)

const (
	goldenID       = "00000000000c0de1"
	goldenFunction = "7f3a9c21e0b4d655"
	goldenKey      = "000102030405060708090a0b0c0d0e0f"
	goldenBudget   = 9000 // milliseconds
)

// goldenCall returns a request with fixed parameters. Each pair in change sets a parameter, or removes the parameter if
// its value is "-".
func goldenCall(class, body string, change ...[2]string) clientRequest {
	fixed := [][2]string{
		{"HTTP_REQUEST_ID", goldenID},
		{"HTTP_RESOURCE_KEY", goldenFunction},
		{"HTTP_ONCE_KEY", goldenKey},
		{"HTTP_BUDGET_MS", strconv.Itoa(goldenBudget)},
	}
	return newCall(class, body, append(fixed, change...)...)
}

// answered returns an exchange with one attempt: the agent answers, and the client receives the outcome.
func answered(class, answer string) func(*exchangeRecorder) {
	return func(recorder *exchangeRecorder) {
		recorder.clientSends(goldenCall(class, "x").bytes())
		recorder.agentSends(recorder.agentReceives(), answer)
		recorder.clientReceives(typeEndRequest)
	}
}

// retried returns an exchange with two attempts: the agents give the answer to the first attempt and serve the second.
func retried(class, answer string) func(*exchangeRecorder) {
	return func(recorder *exchangeRecorder) {
		recorder.clientSends(goldenCall(class, "x").bytes())
		recorder.agentSends(recorder.agentReceives(), answer)
		recorder.agentSends(recorder.agentReceives(), servedAnswer)
		recorder.clientReceives(typeEndRequest)
	}
}

// rejected returns an exchange in which the program answers a request without an attempt at an agent.
func rejected(request clientRequest) func(*exchangeRecorder) {
	return func(recorder *exchangeRecorder) {
		recorder.clientSends(request.bytes())
		recorder.clientReceives(typeEndRequest)
	}
}

// closed returns an exchange in which the client violates the protocol and the program closes the connection.
func closed(data []byte) func(*exchangeRecorder) {
	return func(recorder *exchangeRecorder) {
		recorder.clientSends(data)
		recorder.clientReceivesClose()
	}
}

// management returns an exchange of FastCGI management records, which belong to no request.
func management(data []byte, answer byte) func(*exchangeRecorder) {
	return func(recorder *exchangeRecorder) {
		recorder.clientSends(data)
		recorder.clientReceives(answer)
	}
}

const servedAnswer = "{id} OK depth=2,l=inflight:3;queue:1;util:0.5;x0:512;x1:4 6\r\nserved\r\n"

// exchange is one entry of the golden file.
type exchange struct {
	name   string
	agents int
	run    func(*exchangeRecorder)
}

const (
	// nonIdempotent is a class whose requests are not retried once they may have run.
	nonIdempotent = "certificado"
	// beginKeepAlive is the content of a BEGIN_REQUEST record that keeps the connection open.
	beginKeepAlive = "\x00\x01\x01\x00\x00\x00\x00\x00"
)

// exchanges returns all entries of the golden file in the order of the file.
func exchanges() []exchange {
	return slices.Concat(
		servedExchanges(), answerExchanges(), statusExchanges(), lostAnswerExchanges(), rejectedExchanges(),
		protocolExchanges(),
	)
}

// servedExchanges returns exchanges in which requests of each form are served.
func servedExchanges() []exchange {
	once := goldenCall("consulta", "x")
	once.closeAfter = true
	padded := goldenCall("registro-horas", "padded")
	padded.id, padded.padding, padded.longLengths = 300, 7, true
	return []exchange{
		{"served", 1, answered("registro-horas", servedAnswer)},
		{"served, no body", 1, func(recorder *exchangeRecorder) {
			recorder.clientSends(goldenCall("consulta", "").bytes())
			recorder.agentSends(recorder.agentReceives(), "{id} OK - 0\r\n\r\n")
			recorder.clientReceives(typeEndRequest)
		}},
		{"served, no idempotency key", 1, func(recorder *exchangeRecorder) {
			recorder.clientSends(goldenCall("consulta", "x", [2]string{"HTTP_ONCE_KEY", "-"}).bytes())
			recorder.agentSends(recorder.agentReceives(), servedAnswer)
			recorder.clientReceives(typeEndRequest)
		}},
		{"served, body of any bytes", 1, func(recorder *exchangeRecorder) {
			recorder.clientSends(goldenCall("certificado", "\x00\xff\r\n=, go").bytes())
			recorder.agentSends(recorder.agentReceives(), "{id} OK - 7\r\n\x00\xff\r\nOK \r\n")
			recorder.clientReceives(typeEndRequest)
		}},
		{"served, padding and long lengths", 1, func(recorder *exchangeRecorder) {
			recorder.clientSends(padded.bytes())
			recorder.agentSends(recorder.agentReceives(), servedAnswer)
			recorder.clientReceives(typeEndRequest)
		}},
		{"served, connection not kept", 1, func(recorder *exchangeRecorder) {
			recorder.clientSends(once.bytes())
			recorder.agentSends(recorder.agentReceives(), servedAnswer)
			recorder.clientReceivesClose()
		}},
		{"served, fields that are not known", 1, answered("consulta", "{id} OK other=1,depth=1,l=new:1;util:0.25 2\r\nok\r\n")},
	}
}

// answerExchanges returns exchanges with answers in fragments, in several FastCGI records, with an unknown ID and out
// of order. All requests are served.
func answerExchanges() []exchange {
	return []exchange{
		{"served, answer in pieces", 1, func(recorder *exchangeRecorder) {
			recorder.clientSends(goldenCall("certificado", "x").bytes())
			message := recorder.agentReceives()
			for _, b := range message.id() + " OK - 2\r\nok\r\n" {
				recorder.agentSends(message, string(b))
			}
			recorder.clientReceives(typeEndRequest)
		}},
		{"served, answer of several records", 1, answered("certificado", "{id} OK - 140000\r\n"+strings.Repeat("y", 140000)+"\r\n")},
		{"served after an answer to nobody", 1, answered("certificado", "0000 OK - 2\r\nno\r\n"+servedAnswer)},
		{"two at a time, answered in the other order", 1, func(recorder *exchangeRecorder) {
			second := goldenCall("consulta", "second", [2]string{"HTTP_REQUEST_ID", "00000000000c0de2"})
			second.id = 2
			recorder.clientSends(goldenCall("consulta", "first").bytes())
			first := recorder.agentReceives()
			recorder.clientSends(second.bytes())
			recorder.agentSends(recorder.agentReceives(), "{id} OK - 6\r\nsecond\r\n")
			recorder.clientReceives(typeEndRequest)
			recorder.agentSends(first, "{id} OK - 5\r\nfirst\r\n")
			recorder.clientReceives(typeEndRequest)
		}},
	}
}

// statusExchanges returns exchanges with each answer status of a node agent except OK.
func statusExchanges() []exchange {
	return []exchange{
		{"ERR, not idempotent", 2, answered(nonIdempotent, "{id} ERR - 0\r\n\r\n")},
		{"ERR with a text, not idempotent", 2, answered(nonIdempotent, "{id} ERR l=util:0.5 5\r\ncause\r\n")},
		{"ERR, then served", 2, retried("consulta", "{id} ERR - 0\r\n\r\n")},
		{"MISS, then served", 2, retried("certificado", "{id} MISS l=util:0.5 0\r\n\r\n")},
		{"BUSY, then served", 2, retried("certificado", "{id} BUSY depth=9,l=util:1 0\r\n\r\n")},
		{"VOID, then served", 2, retried("certificado", "{id} VOID - 0\r\n\r\n")},
		{"UP to a request, which counts as served without a body", 2, answered(nonIdempotent, "{id} UP l=util:0.5\r\n")},
		{"DOWN to a request, which counts as an error", 2, answered(nonIdempotent, "{id} DOWN\r\n")},
	}
}

// lostAnswerExchanges returns exchanges in which an attempt ends without an answer or with one that can't be parsed.
func lostAnswerExchanges() []exchange {
	return []exchange{
		{"connection closed", 2, func(recorder *exchangeRecorder) {
			recorder.clientSends(goldenCall(nonIdempotent, "x").bytes())
			recorder.agentCloses(recorder.agentReceives(), false)
			recorder.clientReceives(typeEndRequest)
		}},
		{"connection reset", 2, func(recorder *exchangeRecorder) {
			recorder.clientSends(goldenCall(nonIdempotent, "x").bytes())
			recorder.agentCloses(recorder.agentReceives(), true)
			recorder.clientReceives(typeEndRequest)
		}},
		{"connection closed, then served", 2, func(recorder *exchangeRecorder) {
			recorder.clientSends(goldenCall("consulta", "x").bytes())
			recorder.agentCloses(recorder.agentReceives(), false)
			recorder.agentSends(recorder.agentReceives(), servedAnswer)
			recorder.clientReceives(typeEndRequest)
		}},
		{"silence until the deadline", 1, func(recorder *exchangeRecorder) {
			recorder.clientSends(goldenCall(nonIdempotent, "x", [2]string{"HTTP_BUDGET_MS", "600"}).bytes())
			recorder.agentReceives()
			recorder.clientReceives(typeEndRequest)
			recorder.agentReceives() // the cancellation
		}},
		{"answer that stops short", 1, answered(nonIdempotent, "{id} OK - 100\r\nshort")},
		{"answer with another word", 1, answered(nonIdempotent, "{id} WHAT - 0\r\n\r\n")},
		{"answer too long", 1, answered(nonIdempotent, "{id} OK - 99999999\r\n")},
		{"answer that runs on", 1, answered(nonIdempotent, "{id} OK - 2\r\nlong\r\n")},
		{"answer with a bad field", 1, answered(nonIdempotent, "{id} OK depth=many 0\r\n\r\n")},
		{"answer with a bad report", 1, answered(nonIdempotent, "{id} OK l=util:NaN 0\r\n\r\n")},
		{"answer without a line end", 1, answered(nonIdempotent, strings.Repeat("x", 5000))},
		{"aborted by the client", 1, func(recorder *exchangeRecorder) {
			recorder.clientSends(goldenCall("consulta", "x").bytes())
			recorder.agentReceives()
			recorder.clientSends(encodeRecord(typeAbortRequest, 1, 0, ""))
			recorder.clientReceives(typeEndRequest)
			recorder.agentReceives() // the cancellation
		}},
	}
}

// rejectedExchanges returns exchanges in which a request reaches no worker.
func rejectedExchanges() []exchange {
	tooLong := goldenCall("consulta", strings.Repeat("x", 16<<10+1))
	tooLong.bodyOpen = true
	return []exchange{
		{"refused, no worker", 0, rejected(goldenCall("certificado", "x", [2]string{"HTTP_BUDGET_MS", "600"}))},
		{"rejected, no such class", 1, rejected(goldenCall("nonsense", "x"))},
		{"rejected, no id", 1, rejected(goldenCall("consulta", "x", [2]string{"HTTP_REQUEST_ID", "-"}))},
		{"rejected, no idempotency key", 1, rejected(goldenCall("registro-horas", "x", [2]string{"HTTP_ONCE_KEY", "-"}))},
		{"rejected, no budget", 1, rejected(goldenCall("consulta", "x", [2]string{"HTTP_BUDGET_MS", "0"}))},
		{"rejected, length of the body", 1, rejected(goldenCall("consulta", "four", [2]string{"CONTENT_LENGTH", "5"}))},
		{"rejected, body too long", 1, rejected(tooLong)},
		{"rejected, parameters too long", 1, rejected(goldenCall("consulta", "", [2]string{"X", strings.Repeat("x", 16<<10)}))},
		{"rejected, not complete in time", 1, func(recorder *exchangeRecorder) {
			// Complete a request first: on a new connection the timeout of the connection would expire together with
			// that of the request.
			recorder.clientSends(healthRequest().bytes())
			recorder.clientReceives(typeEndRequest)
			recorder.clientSends(encodeRecord(typeBeginRequest, 1, 0, beginKeepAlive))
			recorder.clientReceives(typeEndRequest)
		}},
	}
}

// protocolExchanges returns exchanges of other FastCGI records, of protocol violations, and of polls of the list
// service.
func protocolExchanges() []exchange {
	otherRole := goldenCall("consulta", "")
	otherRole.role = 2
	return []exchange{
		{"nothing sent", 1, func(recorder *exchangeRecorder) { recorder.clientReceivesClose() }},
		{"unknown role", 1, rejected(otherRole)},
		{"health", 1, rejected(healthRequest())},
		{"values", 1, management(encodeRecord(typeGetValues, 0, 3, "\x0e\x00FCGI_MAX_CONNS\x0d\x00FCGI_MAX_REQS\x0f\x00FCGI_MPXS_CONNS\x02\x00no"), typeGetValuesResult)},
		{"unknown type", 1, management(encodeRecord(99, 0, 0, "x"), typeUnknownType)},
		{"other protocol", 1, closed([]byte("GET / HTTP/1.1\r\n\r\n"))},
		{"begun twice", 1, closed(append(encodeRecord(typeBeginRequest, 4, 0, beginKeepAlive), encodeRecord(typeBeginRequest, 4, 0, beginKeepAlive)...))},
		{"begun short", 1, closed(encodeRecord(typeBeginRequest, 4, 0, "\x00"))},
		{"polls of the list service", 0, func(recorder *exchangeRecorder) {
			recorder.listServiceReceivesPoll()
			recorder.scheduler.addEvent(false)
			recorder.listServiceReceivesPoll()
		}},
	}
}

// TestGoldenExchanges guards against changes on the wire. It compares each byte that the program sends to clients,
// agents and the list service with the golden file.
func TestGoldenExchanges(t *testing.T) {
	allSelected := !strings.Contains(flag.Lookup("test.run").Value.String(), "/") // true if -run selects all exchanges
	if golden.Recording() && !allSelected {
		t.Fatal("-record writes the whole file and requires a run of all exchanges")
	}
	var all strings.Builder
	for _, exchange := range exchanges() {
		t.Run(exchange.name, func(t *testing.T) {
			var out strings.Builder
			fmt.Fprintf(&out, "== %s\n", exchange.name)
			defer func() { all.WriteString(out.String()) }()
			recorder := newExchangeRecorder(t, &out, exchange.agents)
			exchange.run(recorder)
			recorder.finish()
			if !golden.Recording() {
				compareExchange(t, exchange.name, out.String())
			}
		})
	}
	switch {
	case t.Failed():
	case golden.Recording():
		golden.Record(t, goldenFile, []byte(all.String()))
	case allSelected:
		if want := string(golden.Read(t, goldenFile)); all.String() != want {
			t.Error("the exchanges in the golden file differ from those in the test, or are in a different order")
		}
	}
}

// compareExchange compares an exchange with the entry of that name in the golden file.
func compareExchange(t *testing.T, name, got string) {
	t.Helper()
	_, rest, ok := strings.Cut("\n"+string(golden.Read(t, goldenFile)), "\n== "+name+"\n")
	if !ok {
		t.Fatal("the golden file does not contain this exchange")
	}
	want, _, _ := strings.Cut(rest, "\n== ")
	want = "== " + name + "\n" + strings.TrimSuffix(want, "\n") + "\n"
	if got != want {
		t.Errorf("bytes differ from the golden file.\ngot:\n%s\nwant:\n%s", got, want)
	}
}
