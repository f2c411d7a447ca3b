package simwire

import (
	"bufio"
	"errors"
	"io"
	"strconv"
	"strings"
)

// bufferSize is the size of the decoder's and the encoder's buffer, in bytes.
const bufferSize = 1 << 16

// Messages that structure a batch.
const (
	messageRound          = "round"
	messageTargetInstance = "target_instance"
	messageFlush          = "flush"
)

var (
	errNoFlush        = errors.New("input ended inside a batch; expected flush")
	errNoInstance     = errors.New("event before any target_instance")
	errNoLineEnd      = errors.New("line without an end")
	errUnknownMessage = errors.New("unknown message")
)

// Decoder decodes batches from an input stream.
type Decoder struct {
	reader *bufio.Reader
	line   int // number of the last line read
}

// NewDecoder returns a Decoder that reads from r.
func NewDecoder(r io.Reader) *Decoder { return &Decoder{reader: bufio.NewReaderSize(r, bufferSize)} }

// Next returns the next batch. It returns io.EOF if the input ends between batches, and a SyntaxError for a malformed
// line.
func (d *Decoder) Next() (*Batch, error) {
	batch, err := d.readRound()
	if err != nil {
		return nil, err
	}
	reader := batchReader{decoder: d, batch: batch}
	for {
		text, err := d.readLine()
		if errors.Is(err, io.EOF) {
			return nil, d.syntaxError(messageRound, errNoFlush)
		}
		if err != nil {
			return nil, err
		}
		line := splitLine(text)
		ended, err := reader.add(line)
		if err != nil {
			return nil, d.syntaxError(line.name, err)
		}
		if ended {
			return batch, nil
		}
	}
}

// batchReader decodes the lines of a batch after the first one.
type batchReader struct {
	decoder     *Decoder
	batch       *Batch
	instance    int // instance of the following events
	hasInstance bool
}

// add adds the message of a line to the batch and reports whether the line ended the batch.
func (r *batchReader) add(line *fields) (ended bool, err error) {
	switch {
	case line.name == messageFlush:
		return true, line.end()
	case line.name == messageTargetInstance:
		r.instance = line.integer()
		r.hasInstance = true
		return false, line.end()
	case !r.hasInstance:
		return false, errNoInstance
	}
	item, err := r.decoder.readItem(line)
	item.Instance = r.instance
	r.batch.Items = append(r.batch.Items, item)
	return false, err
}

// readRound decodes the first line of a batch.
func (d *Decoder) readRound() (*Batch, error) {
	line, err := d.readLine()
	if err != nil {
		return nil, err
	}
	f := splitLine(line)
	if f.name != messageRound {
		f.fail("expected round")
	}
	batch := &Batch{}
	batch.Now = f.millis()
	batch.Number = f.text()
	if _, err := strconv.ParseUint(batch.Number, 10, 64); err != nil {
		f.fail("batch number: " + err.Error())
	}
	if err := f.end(); err != nil {
		return nil, d.syntaxError(f.name, err)
	}
	return batch, nil
}

// readItem decodes the item that starts at a line. Only an endpoint list has more than one line.
func (d *Decoder) readItem(line *fields) (Item, error) {
	switch line.name {
	case "power_on":
		return parseInstanceStart(line)
	case "shutdown":
		return Item{Stop: true}, line.end()
	case "view":
		return d.readWorkerList(line)
	}
	parse, ok := eventParsers[line.name]
	if !ok {
		return Item{}, errUnknownMessage
	}
	event := parse(line)
	return Item{Event: event}, line.end()
}

// readLine returns the next line without its newline, or io.EOF at the end of the input.
func (d *Decoder) readLine() (string, error) {
	line, err := d.reader.ReadString('\n')
	if errors.Is(err, io.EOF) && line != "" {
		d.line++
		return "", d.syntaxError(splitLine(line).name, errNoLineEnd)
	}
	if err != nil {
		return "", err
	}
	d.line++
	return strings.TrimSuffix(line, "\n"), nil
}

// syntaxError returns a SyntaxError for the last line read, or err itself if it contains a SyntaxError already.
func (d *Decoder) syntaxError(message string, err error) error {
	var syntax *SyntaxError
	if errors.As(err, &syntax) {
		return err
	}
	return &SyntaxError{Line: d.line, Message: message, Err: err}
}
