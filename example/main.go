// Command toy lets a newcomer try calicohill. One process stands in for both services that a scheduler needs: the
// endpoint list service ("bulletin"), which lists a single node agent, and that agent, which answers each request with
// its own body.
package main

import (
	"flag"
	"log"
	"net"
	"net/http"
)

func main() {
	agentAddress := flag.String("agent", "127.0.0.1:5060", "`address` of the agent")
	endpointListAddress := flag.String("bulletin", "127.0.0.1:4222", "`address` of the bulletin")
	flag.Parse()
	listener, err := net.Listen("tcp", *agentAddress)
	if err != nil {
		log.Fatal(err)
	}
	go runAgent(listener)
	http.HandleFunc("GET /bulletins", endpointListHandler(*agentAddress))
	log.Printf("agent at %s, bulletin at %s", *agentAddress, *endpointListAddress)
	log.Fatal(http.ListenAndServe(*endpointListAddress, nil))
}
