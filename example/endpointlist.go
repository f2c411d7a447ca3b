package main

import (
	"fmt"
	"net/http"
	"strconv"
	"time"
)

// maxPollTimeout is the maximum time for which a poll is held.
const maxPollTimeout = 5 * time.Second

// endpointListHandler serves long polls of an endpoint list that contains a single agent. The first poll receives the
// list. The list never changes, so later polls are held until their timeout and receive an empty response.
func endpointListHandler(agentAddress string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if r.FormValue("after") == "0" {
			fmt.Fprintf(w, `{"no":1,"items":[{"no":1,"roster":{"rev":1,"all":true,"targets":[
				{"uid":"toy","endpoint":%q,"az":"here","model":"std","state":"SERVING","boot_ms":0}]}}]}`, agentAddress)
			return
		}
		// A poll without a valid timeout is answered immediately.
		timeoutMillis, _ := strconv.Atoi(r.FormValue("patience"))
		timeout := time.Duration(min(timeoutMillis, int(maxPollTimeout.Milliseconds()))) * time.Millisecond
		select {
		case <-time.After(timeout):
			fmt.Fprint(w, `{"no":1,"items":[]}`)
		case <-r.Context().Done():
		}
	}
}
