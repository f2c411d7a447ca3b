package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"log"
	"net"
	"strconv"
	"strings"
)

// maxBodyBytes is the maximum size of a request body accepted by the agent.
const maxBodyBytes = 16 << 10

const lineEnd = "\r\n"

// runAgent accepts connections and serves each on its own goroutine.
func runAgent(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			log.Fatal(err)
		}
		go func() {
			defer conn.Close()
			if err := serveConnection(conn); !errors.Is(err, io.EOF) {
				log.Print("agent: ", err)
			}
		}()
	}
}

// serveConnection answers the commands on a connection until the connection ends. The commands are go ID FIELDS LENGTH,
// halt ID, stat TAG and ping TAG. It returns io.EOF if the peer has closed the connection.
func serveConnection(conn net.Conn) error {
	reader := bufio.NewReader(conn)
	for {
		line, err := reader.ReadString('\n')
		if err != nil {
			return err
		}
		if err := answerCommand(conn, reader, line); err != nil {
			return err
		}
	}
}

// answerCommand answers one command. The body of a request follows its line.
func answerCommand(w io.Writer, reader io.Reader, line string) error {
	words := strings.Fields(line)
	var command string
	if len(words) > 0 {
		command = words[0]
	}
	switch {
	case command == "go" && len(words) == 4:
		return answerRequest(w, reader, words[1], words[2], words[3])
	case (command == "stat" || command == "ping") && len(words) == 2:
		_, err := fmt.Fprintf(w, "%s UP l=util:0.10 0\r\n\r\n", words[1])
		return err
	case command == "halt" && len(words) == 2:
		return nil // nothing to cancel: the request has been answered already
	default:
		return fmt.Errorf("unknown or malformed command %q", line)
	}
}

// answerRequest reads the body of a request and sends it back.
func answerRequest(w io.Writer, reader io.Reader, id, fields, length string) error {
	size, err := strconv.Atoi(length)
	if err != nil || size < 0 || size > maxBodyBytes {
		return fmt.Errorf("invalid body length %q: expected 0 to %d", length, maxBodyBytes)
	}
	body := make([]byte, size+len(lineEnd))
	if _, err := io.ReadFull(reader, body); err != nil {
		return err
	}
	log.Printf("agent: echoing request %s (%s, %d bytes)", id, fields, size)
	_, err = fmt.Fprintf(w, "%s OK depth=0,l=util:0.10 %d\r\n%s", id, size, body)
	return err
}
