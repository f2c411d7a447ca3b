// Command toy lets a newcomer try calicohill: one process that is both a bulletin, which lists one node agent,
// and that agent, which answers each request with its own body.
package main

import (
	"bufio"
	"errors"
	"flag"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

func main() {
	agent := flag.String("agent", "127.0.0.1:5060", "`address` of the agent")
	bulletin := flag.String("bulletin", "127.0.0.1:4222", "`address` of the bulletin")
	flag.Parse()
	l, err := net.Listen("tcp", *agent)
	if err != nil {
		log.Fatal(err)
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				log.Fatal(err)
			}
			go func() {
				defer c.Close()
				if err := serve(c); !errors.Is(err, io.EOF) {
					log.Print("agent: ", err)
				}
			}()
		}
	}()
	http.HandleFunc("GET /bulletins", func(w http.ResponseWriter, r *http.Request) {
		if r.FormValue("after") == "0" {
			fmt.Fprintf(w, `{"no":1,"items":[{"no":1,"roster":{"rev":1,"all":true,"targets":[
				{"uid":"toy","endpoint":%q,"az":"here","model":"std","state":"SERVING","boot_ms":0}]}}]}`, *agent)
			return
		}
		// Nothing ever changes: the poll is held for as long as it asks.
		ms, _ := strconv.Atoi(r.FormValue("patience"))
		select {
		case <-time.After(time.Duration(min(ms, 5000)) * time.Millisecond):
			fmt.Fprint(w, `{"no":1,"items":[]}`)
		case <-r.Context().Done():
		}
	})
	log.Printf("agent at %s, bulletin at %s", *agent, *bulletin)
	log.Fatal(http.ListenAndServe(*bulletin, nil))
}

// serve answers the commands of a connection: go ID FIELDS LENGTH, halt ID, stat TAG and ping TAG.
func serve(c net.Conn) error {
	r := bufio.NewReader(c)
	for {
		line, err := r.ReadString('\n')
		if err != nil {
			return err
		}
		words := strings.Fields(line)
		switch {
		case len(words) == 4 && words[0] == "go":
			size, err := strconv.Atoi(words[3])
			if err != nil || size < 0 || size > 16<<10 {
				return fmt.Errorf("length %q", words[3])
			}
			body := make([]byte, size+len("\r\n"))
			if _, err := io.ReadFull(r, body); err != nil {
				return err
			}
			log.Printf("agent: request %s, %s, %d bytes", words[1], words[2], size)
			if _, err := fmt.Fprintf(c, "%s OK depth=0,l=util:0.10 %d\r\n%s", words[1], size, body); err != nil {
				return err
			}
		case len(words) == 2 && (words[0] == "stat" || words[0] == "ping"):
			if _, err := fmt.Fprintf(c, "%s UP l=util:0.10 0\r\n\r\n", words[1]); err != nil {
				return err
			}
		case len(words) == 2 && words[0] == "halt": // it has been answered already
		default:
			return fmt.Errorf("command %q", line)
		}
	}
}
