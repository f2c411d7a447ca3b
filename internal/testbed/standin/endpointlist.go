package standin

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// EndpointState is the state of a worker in the endpoint list.
type EndpointState string

// The states that the testbed publishes.
const (
	EndpointServing  EndpointState = "SERVING"
	EndpointDraining EndpointState = "DRAINING"
	EndpointDeleted  EndpointState = "DELETED"
)

// Endpoint is a worker as an event of the endpoint list names it.
type Endpoint struct {
	ID            string
	State         EndpointState
	Address       string
	StartedMillis int64 // Unix time in milliseconds; 0 for a worker that is warm
}

// EndpointEvent returns the JSON of an event of the endpoint list; with all set the endpoints are the whole list.
func EndpointEvent(number int, all bool, endpoints []Endpoint) string {
	var targets []string
	for _, endpoint := range endpoints {
		targets = append(targets, fmt.Sprintf(`{"uid":%q,"state":%q,"endpoint":%q,"az":"here","model":"std","boot_ms":%d}`,
			endpoint.ID, endpoint.State, endpoint.Address, endpoint.StartedMillis))
	}
	return fmt.Sprintf(`{"no":%d,"roster":{"rev":1,"all":%v,"targets":[%s]}}`, number, all, strings.Join(targets, ","))
}

// EndpointFeed returns the body of a response of the list service: events in their order, and the number of the last.
func EndpointFeed(last int, events []string) string {
	return fmt.Sprintf(`{"no":%d,"items":[%s]}`, last, strings.Join(events, ","))
}

// PollRequest is what a scheduler asks of the list service: the events after one, as soon as there are any.
type PollRequest struct {
	After   int           // number of the last event that the scheduler has
	Timeout time.Duration // after which it is answered without an update
}

// ParsePollRequest returns the poll that an HTTP request makes. Parameters that can't be parsed count as 0.
func ParsePollRequest(request *http.Request) PollRequest {
	query := request.URL.Query()
	after, _ := strconv.Atoi(query.Get("after"))
	timeoutMillis, _ := strconv.Atoi(query.Get("patience"))
	return PollRequest{After: after, Timeout: time.Duration(timeoutMillis) * time.Millisecond}
}
