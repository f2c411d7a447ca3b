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

// Endpoint states that the testbed publishes.
const (
	EndpointServing  EndpointState = "SERVING"
	EndpointDraining EndpointState = "DRAINING"
	EndpointDeleted  EndpointState = "DELETED"
)

// Endpoint is a worker's entry in an endpoint list event.
type Endpoint struct {
	ID            string
	State         EndpointState
	Address       string
	StartedMillis int64 // start time in Unix milliseconds; 0 for a warm worker
}

// EndpointEvent returns an endpoint list event as JSON. If all is set, the endpoints replace the whole list.
func EndpointEvent(number int, all bool, endpoints []Endpoint) string {
	var targets []string
	for _, endpoint := range endpoints {
		targets = append(targets, fmt.Sprintf(`{"uid":%q,"state":%q,"endpoint":%q,"az":"here","model":"std","boot_ms":%d}`,
			endpoint.ID, endpoint.State, endpoint.Address, endpoint.StartedMillis))
	}
	return fmt.Sprintf(`{"no":%d,"roster":{"rev":1,"all":%v,"targets":[%s]}}`, number, all, strings.Join(targets, ","))
}

// EndpointFeed returns the body of a list service response: the events in order and the number of the last one.
func EndpointFeed(last int, events []string) string {
	return fmt.Sprintf(`{"no":%d,"items":[%s]}`, last, strings.Join(events, ","))
}

// PollRequest is a scheduler's long poll of the list service. It requests the events after a given one.
type PollRequest struct {
	After   int           // number of the last event that the scheduler has
	Timeout time.Duration // the service responds without an update after this time
}

// ParsePollRequest parses the poll parameters of an HTTP request. Invalid parameters are treated as 0.
func ParsePollRequest(request *http.Request) PollRequest {
	query := request.URL.Query()
	after, _ := strconv.Atoi(query.Get("after"))
	timeoutMillis, _ := strconv.Atoi(query.Get("patience"))
	return PollRequest{After: after, Timeout: time.Duration(timeoutMillis) * time.Millisecond}
}
