package main

import (
	"bufio"
	"fmt"
	"net"
	"strconv"
	"strings"
	"testing"
	"time"

	"calicohill/internal/testbed/standin"

	"github.com/google/go-cmp/cmp"
)

// Guards against valid requests that are rejected or forwarded incorrectly, in any encoding and however the client
// splits its writes. The agent must receive their fields and body, and the client the agent's body.
func TestValidRequests(t *testing.T) {
	sched, agent := startWithAgent(t, echo)
	big := strings.Repeat("\x00\r\n=, ", 16<<10/6) + "last"
	for _, tt := range []struct {
		name    string
		request clientRequest
		chunk   int // bytes per write; 0 for a single write
	}{
		{name: "plain", request: newCall("consulta", "body", [2]string{"HTTP_ONCE_KEY", "-"})},
		{name: "no body", request: newCall("registro-horas", "")},
		{name: "largest body", request: newCall("certificado", big)},
		{name: "padding", request: clientRequest{padding: 7, body: "padded", params: newCall("registro-horas", "").params}},
		{name: "lengths of 4 bytes", request: clientRequest{longLengths: true, body: "long", params: newCall("registro-horas", "").params}},
		{name: "a byte at a time", request: clientRequest{padding: 1, body: "split", params: newCall("registro-horas", "").params}, chunk: 1},
		{name: "split in headers", request: newCall("registro-horas", "split"), chunk: 11},
		{name: "long parameter", request: newCall("consulta", "x", [2]string{"HTTP_" + strings.Repeat("X", 200), strings.Repeat("y", 300)})},
		{name: "content length", request: newCall("consulta", "four", [2]string{"CONTENT_LENGTH", "4"})},
	} {
		t.Run(tt.name, func(t *testing.T) {
			client := sched.connect()
			client.t = t
			tt.request.id = 300
			data := tt.request.bytes()
			for chunk := max(tt.chunk, 1); tt.chunk > 0 && len(data) > chunk; data = data[chunk:] {
				client.write(data[:chunk])
			}
			client.write(data)
			got := client.readAnswer()
			if got.id != 300 || got.status != 200 || got.protocolStatus != 0 || got.body != "re:"+tt.request.body {
				t.Errorf("got request %d, status %d, protocol status %d, body %.40q", got.id, got.status, got.protocolStatus, got.body)
			}
			requests := agent.received()
			request := requests[len(requests)-1]
			if ms, err := strconv.Atoi(request.fields["patience"]); err != nil || ms <= 0 || ms >= 9000 {
				t.Errorf("patience %q, want a little under 9000", request.fields["patience"])
			}
			delete(request.fields, "patience")
			request.conn = 0
			want := agentRequest{id: tt.request.param("HTTP_REQUEST_ID"), body: tt.request.body, fields: map[string]string{
				"sort": strings.TrimPrefix(tt.request.param("SCRIPT_NAME"), "/rpc/"), "asset": tt.request.param("HTTP_RESOURCE_KEY"),
			}}
			if key := tt.request.param("HTTP_ONCE_KEY"); key != "" {
				want.fields["op"] = key
			}
			if d := cmp.Diff(want, request, cmp.AllowUnexported(agentRequest{})); d != "" {
				t.Errorf("the agent received (-want +got):\n%s", d)
			}
		})
	}
}

// Guards against an answer that is delivered to the wrong request when 32 requests share a client connection and the
// worker answers them out of order.
func TestMultiplexed(t *testing.T) {
	latency := func(n int, _ agentRequest) time.Duration { return time.Duration(37*n%20) * time.Millisecond }
	sched, _ := startWithAgent(t, withLatency(latency, echo))
	client, want, got := sched.connect(), map[uint16]string{}, map[uint16]string{}
	var all []byte
	for id := uint16(1); id <= 32; id++ {
		request := newCall("consulta", fmt.Sprint("body ", id))
		request.id = id
		want[id] = "re:" + request.body
		all = append(all, request.bytes()...)
	}
	client.write(all)
	for range want {
		answer := client.readAnswer()
		got[answer.id] = answer.body
	}
	if d := cmp.Diff(want, got); d != "" {
		t.Errorf("answers (-want +got):\n%s", d)
	}
}

// echoByteByByte answers each request on a connection with its body, one byte per write.
func echoByteByByte(conn net.Conn) {
	defer conn.Close()
	for reader := bufio.NewReader(conn); ; {
		command, err := standin.ReadAgentCommand(reader)
		if err != nil || command.Verb != standin.AgentStart {
			return
		}
		for _, b := range []byte(answerLine(command.ID, "OK", "depth=0,l=util:0.5", command.Body)) {
			if _, err := conn.Write([]byte{b}); err != nil {
				return
			}
		}
	}
}

// Guards against requests and answers that are not reassembled when they arrive a byte at a time. The bytes of two
// clients alternate.
func TestFragments(t *testing.T) {
	sched := newTestScheduler(t)
	sched.addEvent(true, "a SERVING "+listenForEach(t, echoByteByByte))
	sched.start()
	clientA, clientB := sched.connect(), sched.connect()
	first, second := newCall("certificado", "the first").bytes(), newCall("certificado", "the second").bytes()
	for i := range max(len(first), len(second)) {
		if i < len(first) {
			clientA.write(first[i : i+1])
		}
		if i < len(second) {
			clientB.write(second[i : i+1])
		}
	}
	for client, want := range map[*testClient]string{clientA: "the first", clientB: "the second"} {
		if got := client.readAnswer(); got.body != want {
			t.Errorf("status %d, %q, want %q", got.status, got.body, want)
		}
	}
}

// Guards against invalid requests that reach an agent or are left unanswered.
func TestInvalidRequests(t *testing.T) {
	sched, agent := startWithAgent(t, echo)
	for _, tt := range []struct {
		name    string
		request clientRequest
		status  int
	}{
		{"class", newCall("nonsense", ""), 400},
		{"path", newCall("", "", [2]string{"SCRIPT_NAME", "/other"}), 400},
		{"path is just the class", newCall("", "", [2]string{"SCRIPT_NAME", "consulta"}), 400},
		{"no path", newCall("consulta", "", [2]string{"SCRIPT_NAME", "-"}), 400},
		{"no id", newCall("consulta", "", [2]string{"HTTP_REQUEST_ID", "-"}), 400},
		{"short id", newCall("consulta", "", [2]string{"HTTP_REQUEST_ID", "12ab"}), 400},
		{"id not hex", newCall("consulta", "", [2]string{"HTTP_REQUEST_ID", "12ab12ab12ab12\r\n"}), 400},
		{"no budget", newCall("consulta", "", [2]string{"HTTP_BUDGET_MS", "-"}), 400},
		{"budget of 0", newCall("consulta", "", [2]string{"HTTP_BUDGET_MS", "0"}), 400},
		{"negative budget", newCall("consulta", "", [2]string{"HTTP_BUDGET_MS", "-5"}), 400},
		{"budget too long", newCall("consulta", "", [2]string{"HTTP_BUDGET_MS", "99999999999999999999"}), 400},
		{"no function", newCall("consulta", "", [2]string{"HTTP_RESOURCE_KEY", "-"}), 400},
		{"function", newCall("consulta", "", [2]string{"HTTP_RESOURCE_KEY", "a,b=c d e f g h "}), 400},
		{"no key", newCall("registro-horas", "", [2]string{"HTTP_ONCE_KEY", "-"}), 400},
		{"key", newCall("registro-horas", "", [2]string{"HTTP_ONCE_KEY", "a b"}), 400},
		{"spec value is not a number", newCall("consulta", "", [2]string{"HTTP_X_SPEC", "memory_mb:lots"}), 400},
		{"spec without value", newCall("consulta", "", [2]string{"HTTP_X_SPEC", "lanes"}), 400},
		{"length", newCall("consulta", "four", [2]string{"CONTENT_LENGTH", "5"}), 400},
		{"body too long", newCall("consulta", strings.Repeat("x", 16<<10+1)), 413},
		{"parameters too long", newCall("consulta", "", [2]string{"X", strings.Repeat("x", 16<<10)}), 431},
	} {
		t.Run(tt.name, func(t *testing.T) {
			client := sched.connect()
			client.t = t
			tt.request.bodyOpen = tt.status == 413 // answered before the body ends
			client.send(tt.request)
			if got := client.readAnswer(); got.status != tt.status {
				t.Errorf("status %d, want %d", got.status, tt.status)
			}
		})
	}
	client := sched.connect()
	client.send(newCall("consulta", "good"))
	if got := client.readAnswer(); got.status != 200 {
		t.Errorf("a valid request after them: status %d", got.status)
	}
	if n := len(agent.received()); n != 1 {
		t.Errorf("the agent received %d requests, want only the valid one", n)
	}
}

// The scheduler answers FastCGI management records and aborts, and closes the connection on a protocol violation.
func TestRecords(t *testing.T) {
	sched, _ := startWithAgent(t, func(int, agentRequest) string { return "" })
	begin := func(role byte) string { return string([]byte{0, role, 1, 0, 0, 0, 0, 0}) }
	open := newCall("consulta", "")
	for _, tt := range []struct {
		name    string
		send    []byte
		kind    byte // 0: the connection is closed
		content string
	}{
		{"unknown role", encodeRecord(typeBeginRequest, 9, 0, begin(2)), typeEndRequest, "\x00\x00\x00\x00\x03\x00\x00\x00"},
		{"unknown type", encodeRecord(99, 0, 0, "x"), typeUnknownType, "\x63\x00\x00\x00\x00\x00\x00\x00"},
		{"values", encodeRecord(typeGetValues, 0, 3, "\x0f\x00FCGI_MPXS_CONNS\x02\x00no"), typeGetValuesResult, "\x0f\x01FCGI_MPXS_CONNS1"},
		{"abort", append(open.bytes(), encodeRecord(typeAbortRequest, open.id, 0, "")...), typeEndRequest, "\x00\x00\x00\x00\x00\x00\x00\x00"},
		{
			"abort before the body", append(encodeRecord(typeBeginRequest, 4, 0, begin(1)), encodeRecord(typeAbortRequest, 4, 0, "")...), typeEndRequest,
			"\x00\x00\x00\x00\x00\x00\x00\x00",
		},
		{"version", []byte("GET / HTTP/1.1\r\n\r\n"), 0, ""},
		{"duplicate begin", append(encodeRecord(typeBeginRequest, 4, 0, begin(1)), encodeRecord(typeBeginRequest, 4, 0, begin(1))...), 0, ""},
		{"begin without id", encodeRecord(typeBeginRequest, 0, 0, begin(1)), 0, ""},
		{"truncated begin", encodeRecord(typeBeginRequest, 4, 0, "\x00"), 0, ""},
		{"truncated values", encodeRecord(typeGetValues, 0, 0, "\x7f\x7fx"), 0, ""},
	} {
		t.Run(tt.name, func(t *testing.T) {
			client := sched.connect()
			client.write(tt.send)
			kind, _, content, err := client.readRecord()
			if tt.kind == 0 {
				if err == nil {
					t.Errorf("got a record of type %d, want the connection closed", kind)
				}
			} else if err != nil || kind != tt.kind || string(content) != tt.content {
				t.Errorf("got type %d, %q, %v; want type %d, %q", kind, content, err, tt.kind, tt.content)
			}
		})
	}
}
