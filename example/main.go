// Command toy is an example environment for calicohill. It implements both services that a scheduler needs: an endpoint
// list service ("bulletin") with a single node agent, and the node agent, which echoes the body of each request.
package main

import (
	"flag"
	"log"
	"net"
	"net/http"
)

func main() {
	agentAddress := flag.String("agent", "127.0.0.1:5060", "listen `address` of the node agent")
	endpointListAddress := flag.String("bulletin", "127.0.0.1:4222", "listen `address` of the endpoint list service")
	flag.Parse()
	listener, err := net.Listen("tcp", *agentAddress)
	if err != nil {
		log.Fatal(err)
	}
	go runAgent(listener)
	http.HandleFunc("GET /bulletins", endpointListHandler(*agentAddress))
	log.Printf("node agent listening on %s, endpoint list service on %s", *agentAddress, *endpointListAddress)
	log.Fatal(http.ListenAndServe(*endpointListAddress, nil))
}
