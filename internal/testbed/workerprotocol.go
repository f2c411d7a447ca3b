package testbed

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

// maxCommandBody bounds the body of a command, in bytes.
const maxCommandBody = 16 << 10

// errMalformedCommand is a line that is no command of the agents' protocol.
var errMalformedCommand = errors.New("not a command")

// workerConnection is a scheduler's connection to a worker.
type workerConnection struct {
	worker  *Worker
	writing sync.Mutex
	conn    net.Conn
}

// write writes an answer; a failed write is seen by the reader.
func (c *workerConnection) write(text string) {
	c.writing.Lock()
	defer c.writing.Unlock()
	_, _ = io.WriteString(c.conn, text)
}

// serve reads commands from a connection until it is closed.
func (w *Worker) serve(conn net.Conn) error {
	connection := &workerConnection{worker: w, conn: conn}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	reader := bufio.NewReader(conn)
	for {
		line, err := reader.ReadString('\n')
		if err != nil {
			return err
		}
		words := strings.Fields(line)
		if len(words) < 2 {
			return errMalformedCommand
		}
		if err := connection.command(ctx, words, reader); err != nil {
			return err
		}
	}
}

// command carries out one command; its body, if it has one, is read from the reader.
func (c *workerConnection) command(ctx context.Context, words []string, reader io.Reader) error {
	switch words[0] {
	case "halt":
	case "stat", "ping":
		if c.worker.currentFault() != WorkerUnresponsive {
			c.write(words[1] + " UP l=util:0.10 0\r\n\r\n")
		}
	case "go":
		if len(words) != 4 {
			return errMalformedCommand
		}
		body, err := readBody(reader, words[3])
		if err != nil {
			return err
		}
		go c.handle(ctx, newCall(words[1], words[2], body))
	default:
		return errMalformedCommand
	}
	return nil
}

// readBody reads a command's body and the line's end after it.
func readBody(reader io.Reader, sizeText string) (string, error) {
	size, err := strconv.Atoi(sizeText)
	if err != nil || size < 0 || size > maxCommandBody {
		return "", errMalformedCommand
	}
	body := make([]byte, size+len("\r\n"))
	if _, err := io.ReadFull(reader, body); err != nil {
		return "", err
	}
	return string(body[:size]), nil
}

// call is a request that a scheduler sent.
type call struct {
	id       string
	function string
	class    string
	body     string
}

// newCall parses the fields of a command.
func newCall(id, fields, body string) call {
	parsed := call{id: id, body: body}
	for field := range strings.SplitSeq(fields, ",") {
		switch name, value, _ := strings.Cut(field, "="); name {
		case "asset":
			parsed.function = value
		case "sort":
			parsed.class = value
		}
	}
	return parsed
}

// handle answers a call as the worker's fault has it.
func (c *workerConnection) handle(ctx context.Context, call call) {
	admitted := c.worker.receive(call)
	switch admitted.fault {
	case WorkerUnresponsive:
		return
	case WorkerFailing:
		c.write(call.id + " ERR - 0\r\n\r\n")
		return
	case WorkerSlow:
		sleep(ctx, slowWorkerDelay)
	}
	if !c.worker.execute(ctx, admitted) {
		return
	}
	if c.worker.currentFault() != WorkerUnresponsive {
		c.write(fmt.Sprintf("%s OK depth=0,l=util:0.10 %d\r\n%s\r\n", call.id, len(call.body), call.body))
	}
}

// admittedCall is what a worker does with a call.
type admittedCall struct {
	fault       WorkerFault     // of the worker when the call came
	loaded      <-chan struct{} // closed once the function is loaded
	serviceTime time.Duration
}

// receive notes a call, begins to load its function if nobody has, and crashes if it was one too many.
func (w *Worker) receive(call call) admittedCall {
	w.mu.Lock()
	defer w.mu.Unlock()
	scheduler, _, _ := strings.Cut(call.body, " ")
	loaded, known := w.loaded[call.function]
	w.arrivals = append(w.arrivals, Arrival{
		At:       time.Now(),
		From:     scheduler,
		Fault:    w.fault,
		ID:       call.id,
		Class:    call.class,
		Function: call.function,
		Load:     !known,
	})
	if !known {
		loaded = make(chan struct{})
		w.loaded[call.function] = loaded
		go func() {
			w.store.fetch(w.profile.LoadTime)
			close(loaded)
		}()
	}
	now := time.Now()
	w.crashIfOverloaded(now)
	return admittedCall{
		fault:       w.fault,
		loaded:      loaded,
		serviceTime: time.Duration(float64(w.profile.ServiceTime) / capacityFraction(w.age(now))),
	}
}

// execute waits for the function and a slot and runs the call; false if the connection was closed meanwhile.
func (w *Worker) execute(ctx context.Context, call admittedCall) bool {
	select {
	case <-call.loaded:
	case <-ctx.Done():
		return false
	}
	select {
	case w.slots <- struct{}{}:
	case <-ctx.Done():
		return false
	}
	defer func() { <-w.slots }()
	return sleep(ctx, call.serviceTime)
}
