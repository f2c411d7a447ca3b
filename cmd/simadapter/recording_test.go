package main

import (
	"bufio"
	"bytes"
	"compress/gzip"
	"fmt"
	"hash/crc32"
	"io"
	"math/rand/v2"
	"strings"
	"testing"

	"calicohill/internal/testbed/golden"
)

// recordingFile is the golden file of the recording. The path is relative to testdata/golden; the file is in testdata.
//
// The file was recorded before the identifiers of the program were renamed, to verify that refactorings change no
// decision. Never record it again only to make the test pass. A different reply is a bug in the change, unless the
// change is intended to alter decisions and its commit message says so. In that case remove the file first, because the
// -record flag of package golden writes it only if it does not exist. The file was recorded on amd64. On an
// architecture for which Go fuses floating-point operations, results may differ in the last bits.
const recordingFile = "../recording.txt.gz"

const (
	recordedRounds     = 6400 // total of all instances
	recordedInstances  = 3    // running concurrently
	recordedMalformed  = 900  // short inputs, most with a malformed line
	recordingSeed      = 20260101
	recordingStartTime = 1000000  // microseconds
	inputPrefix        = "input " // prefix of a line with the checksum of the input
)

// TestRecordedDecisions guards against unintended changes of routing decisions and of error texts. It runs the adapter
// against simulations of the environment and compares all replies with the recording, byte for byte. A checksum of each
// round's input precedes the replies. If a checksum is the first difference, the simulation has changed rather than the
// decisions.
func TestRecordedDecisions(t *testing.T) {
	var got bytes.Buffer
	if err := recordSimulations(&got); err != nil {
		t.Fatal(err)
	}
	recordMalformedInput(&got)
	if golden.Recording() {
		writeRecording(t, got.Bytes())
		return
	}
	compareRecordings(t, got.Bytes(), readRecording(t))
}

// compareRecordings reports the first line that differs, and whether the input or a decision differs there.
func compareRecordings(t *testing.T, got, want []byte) {
	t.Helper()
	if bytes.Equal(got, want) {
		return
	}
	gotLines, wantLines := strings.Split(string(got), "\n"), strings.Split(string(want), "\n")
	for i := range min(len(gotLines), len(wantLines)) {
		if gotLines[i] == wantLines[i] {
			continue
		}
		difference := "decisions changed"
		if strings.HasPrefix(gotLines[i], inputPrefix) && strings.HasPrefix(wantLines[i], inputPrefix) {
			difference = "the simulated input changed, with the same decisions before it"
		}
		t.Fatalf("line %d of the recording: %s: got %q, want %q", i+1, difference, gotLines[i], wantLines[i])
	}
	t.Fatalf("got %d lines, want %d", len(gotLines), len(wantLines))
}

// recordSimulations simulates all profiles in a single run of the program, several of them concurrently, and records
// checksums of the input and all replies.
func recordSimulations(recording *bytes.Buffer) error {
	programIn, toProgram := io.Pipe()
	fromProgram, programOut := io.Pipe()
	ended := make(chan error, 1)
	go func() {
		err := run(programIn, programOut)
		programIn.CloseWithError(io.ErrClosedPipe)
		programOut.CloseWithError(io.ErrUnexpectedEOF)
		ended <- err
	}()
	replies := bufio.NewReader(fromProgram)
	schedule := newInstanceSchedule()
	for number := 1; number <= recordedRounds; number++ {
		text := schedule.round(number)
		fmt.Fprintf(recording, "%s%08x\n", inputPrefix, crc32.ChecksumIEEE([]byte(text)))
		if _, err := io.WriteString(toProgram, text); err != nil {
			return fmt.Errorf("round %d: %w, run: %w", number, err, <-ended)
		}
		if err := schedule.readReply(replies, number, recording); err != nil {
			return fmt.Errorf("round %d: %w", number, err)
		}
	}
	if err := toProgram.Close(); err != nil {
		return err
	}
	return <-ended
}

// instanceSchedule assigns the profiles, in order, to the instances as these become free.
type instanceSchedule struct {
	rng         *rand.Rand
	now         int64
	profiles    []instanceProfile
	next        int // index of the next profile
	simulations [recordedInstances]*simulation
	endRounds   [recordedInstances]int // round after which the instance is shut down
}

func newInstanceSchedule() *instanceSchedule {
	return &instanceSchedule{
		rng:      rand.New(rand.NewPCG(recordingSeed, 1)),
		now:      recordingStartTime,
		profiles: instanceProfiles(),
	}
}

// round returns the input lines of the next round.
func (s *instanceSchedule) round(number int) string {
	step := int64(12000)
	if sim := s.simulations[number%recordedInstances]; sim != nil {
		step = int64(sim.profile.stepMs) * 1000
	}
	s.now += 1000 + s.rng.Int64N(2*step)
	if s.rng.IntN(400) == 0 { // a stall
		s.now += s.rng.Int64N(2000000)
	}
	var text strings.Builder
	fmt.Fprintf(&text, "round\t%s\t%d\n", millisText(s.now), number)
	if number > 2 { // the first two rounds are empty
		for i := range s.simulations {
			s.writeInstance(&text, i, number)
		}
	}
	text.WriteString("flush\n")
	return text.String()
}

// writeInstance writes the messages for one instance in a round.
func (s *instanceSchedule) writeInstance(text *strings.Builder, i, number int) {
	sim := s.simulations[i]
	switch {
	case sim != nil && number < s.endRounds[i]:
		if messages := sim.round(s.now); messages != "" {
			fmt.Fprintf(text, "target_instance\t%d\n%s", i, messages)
		}
	case sim != nil:
		fmt.Fprintf(text, "target_instance\t%d\n%sshutdown\n", i, sim.round(s.now))
		s.simulations[i] = nil
	case s.rng.IntN(20) == 0: // an event for an instance that is not running
		fmt.Fprintf(text, "target_instance\t%d\nreminder\t1\n", i)
	case s.rng.IntN(10) == 0:
		fmt.Fprintf(text, "target_instance\t%d\npower_on\t1\t{\"balancers\":%d}\n", i, s.rng.IntN(2))
	case s.rng.IntN(4) == 0:
		duration := recordedRounds * recordedInstances / len(s.profiles)
		seed := recordingSeed + uint64(s.next)
		sim = newSimulation(s.profiles[s.next%len(s.profiles)], seed, s.now)
		s.next++
		s.simulations[i], s.endRounds[i] = sim, number+duration
		fmt.Fprintf(text, "target_instance\t%d\n%s", i, sim.startMessages(seed))
	}
}

// readReply reads and records the reply to a round and applies its actions to the simulations.
func (s *instanceSchedule) readReply(replies *bufio.Reader, number int, recording *bytes.Buffer) error {
	var sim *simulation
	for {
		line, err := replies.ReadString('\n')
		if err != nil {
			return err
		}
		recording.WriteString(line)
		line = strings.TrimSuffix(line, "\n")
		name, value, _ := strings.Cut(line, "\t")
		switch name {
		case "ok":
			if value != fmt.Sprint(number) {
				return fmt.Errorf("reply %q", line)
			}
			return nil
		case "instance":
			var i int
			if _, err := fmt.Sscan(value, &i); err != nil || i < 0 || i >= len(s.simulations) {
				return fmt.Errorf("reply %q", line)
			}
			sim = s.simulations[i]
		default:
			if sim == nil {
				continue // the reply to a failed start, or to an event for an instance that is not running
			}
			if err := sim.applyAction(line); err != nil {
				return err
			}
		}
	}
}

// wellFormed lists valid messages of each kind, some with boundary values.
var wellFormed = []string{
	"view\t1\t1\t2\nm\t1\t1\tw-a\t0\t0\t0\t-\nm\t2.5\t2\tw-b\t1\t1\t1\t900.5",
	"view\t0\t9\t1\nm\t-\t0\tw-a\t-\t-\t-\t-",
	"view\t3\t-1\t0",
	"call\tt/1\t0\t0\tf-a\t1900\t12.5\t300\t2\t900\t3",
	"call\tt/2\t0\t-\tf-a\t1900\t-\t-\t-\t-\t-",
	"first\tt/1\t0\tw-a\t9.25",
	"outcome\tt/1\t0\t17\t18.5\tw-a\t0\tdelivered\tinflight:3,queue:1,util:0.5,x0:0.2,x1:1,new:-",
	"outcome\tt/1\t1\t-\t-\tw-a\t0\tdropped\t-",
	"expired\tt/1",
	"reminder\t1",
	"sampled\tdelivered\tw-a\t1.5\tutil:0.25",
	"brought_up\tw-a\t640\t1\tf-a\tshed",
	"datagram\t2\t6869",
	"datagram\t2\t-",
	"shutdown",
	"target_instance\t1",
	"power_on\t7\t" + `{"balancers":1,"ceilings":{"attemptsCap":2},"classes":[{"aimMs":500,"hardLimitMs":2000,"effect":"read_like"}]}`,
	"flush",
	"round\t12\t3",
}

// outOfRange lists messages with well-formed values that are out of range or contradictory.
var outOfRange = []string{
	"view\t4\t1\t0", "view\t-1\t1\t0", "view\t1\t1\t-1", "view\t1\t1\t1\nm\t1\t3\tw-a\t0\t0\t0\t-",
	"view\t1\t1\t1\nm\t1\t-1\tw-a\t0\t0\t0\t-", "view\t1\t1\t1\nn\t1\t1\tw-a\t0\t0\t0\t-",
	"outcome\tt/1\t0\t-1\t5\tw-a\t0\tdelivered\t-", "outcome\tt/1\t0\t7\t5\tw-a\t0\tdelivered\t-",
	"outcome\tt/1\t2\t-\t5\tw-a\t0\tdelivered\t-", "datagram\t1\t123", "power_on\t-1\t{}", "power_on\tx\t{",
}

// recordMalformedInput runs the program on short inputs with one altered message and records the replies and error
// texts. Values of a wrong type in the settings are not covered, because their error texts come from encoding/json and
// contain the names of Go types.
func recordMalformedInput(recording *bytes.Buffer) {
	rng := rand.New(rand.NewPCG(recordingSeed, 3))
	settings := instanceProfiles()[0].settings()
	start := "round\t1\t1\ntarget_instance\t0\npower_on\t5\t" + settings + "\nview\t1\t1\t1\nm\t1\t1\tw-a\t0\t0\t0\t-\n" +
		"call\tt/1\t0\t-\tf-a\t900\t-\t-\t-\t-\t-\nflush\nround\t20\t2\ntarget_instance\t0\n"
	inputs := []string{
		"", "\n", "flush\n", "round\t1\t1\nexpired\tt/a\nflush\n",
		"round\t1\t1\ntarget_instance\t0\nnews\t1\nflush\n",
	}
	for _, bad := range []string{
		"{}", "{", "null", "", `{"balancers":1}`,
		strings.Replace(settings, "read_like", "unheard_of", 1), strings.Replace(settings, `"cell"`, `"room"`, 1),
		strings.Replace(settings, `"tickMs":4`, `"tickMs":-4`, 1), strings.Replace(settings, `"aimMs":500`, `"aimMs":0`, 1),
		strings.Replace(settings, `"tickMs":4`, `"tickMs":1e300`, 1),
		strings.Replace(settings, `"coldShare":0.25`, `"coldShare":-1`, 1),
		strings.Replace(settings, `"tenants":[]`, `"tenants":[{"share":-1,"quotaPerS":2}]`, 1),
		strings.Replace(settings, `"balancers":1`, `"balancers":0`, 1),
		strings.Replace(settings, `"idleLifeMs":9000`, `"idleLifeMs":0`, 1),
	} {
		inputs = append(inputs, "round\t1\t1\ntarget_instance\t0\npower_on\t5\t"+bad+"\nflush\n")
	}
	for _, bad := range outOfRange {
		inputs = append(inputs, start+bad+"\nflush\n")
	}
	for i := len(inputs); i < recordedMalformed; i++ {
		inputs = append(inputs, start+alterMessage(rng, wellFormed[i%len(wellFormed)])+"\nflush\n")
	}
	for i, in := range inputs {
		if i%9 == 8 { // truncate the input
			in = in[:len(in)-rng.IntN(min(len(in), 40))]
		}
		fmt.Fprintf(recording, "%s%08x\n", inputPrefix, crc32.ChecksumIEEE([]byte(in)))
		err := run(strings.NewReader(in), recording)
		fmt.Fprintf(recording, "error %v\n", err)
	}
}

// alterMessage alters one message: it truncates a line, removes, adds or replaces a value. The replacement may happen
// to be valid.
func alterMessage(rng *rand.Rand, message string) string {
	replacements := []string{
		"", "-", "x", "-1", "1e999", "NaN", "0x1", "9223372036854775808", "18446744073709551616", "4", "1.5",
		"inflight", "inflight:x", "inflight:1,,", "t/1", "delivered", "Delivered", "2", " 1", "1 ", "\x00", "é", "abc",
	}
	lines := strings.Split(message, "\n")
	changed := rng.IntN(len(lines))
	line := lines[changed]
	values := strings.Split(line, "\t")
	position := rng.IntN(len(values))
	switch rng.IntN(6) {
	case 0: // truncate the line
		lines[changed] = strings.Join(values[:position], "\t")
	case 1: // remove a value
		lines[changed] = strings.Join(append(append([]string{}, values[:position]...), values[position+1:]...), "\t")
	case 2: // add a value
		lines[changed] = line + "\t" + replacements[rng.IntN(len(replacements))]
	default:
		if position == 0 && rng.IntN(4) > 0 {
			position = len(values) - 1
		}
		if values[0] == "power_on" {
			position = 1 // the settings are altered in recordMalformedInput
		}
		values[position] = replacements[rng.IntN(len(replacements))]
		lines[changed] = strings.Join(values, "\t")
	}
	if rng.IntN(12) == 0 { // truncate a list
		lines = lines[:changed+1]
	}
	return strings.Join(lines, "\n")
}

// readRecording returns the decompressed recording. It fails the test if the file cannot be read.
func readRecording(t *testing.T) []byte {
	t.Helper()
	reader, err := gzip.NewReader(bytes.NewReader(golden.Read(t, recordingFile)))
	if err != nil {
		t.Fatal(err)
	}
	text, err := io.ReadAll(reader)
	if err != nil {
		t.Fatal(err)
	}
	return text
}

// writeRecording writes a new recording to its file, compressed. It fails the test if the file exists.
func writeRecording(t *testing.T, text []byte) {
	t.Helper()
	var compressed bytes.Buffer
	writer, err := gzip.NewWriterLevel(&compressed, gzip.BestCompression)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := writer.Write(text); err != nil {
		t.Fatal(err)
	}
	if err := writer.Close(); err != nil {
		t.Fatal(err)
	}
	golden.Record(t, recordingFile, compressed.Bytes())
}
