package fault

import (
	"crypto/rand"
	"fmt"
	"net"
	"net/netip"
	"time"
)

// Parameters of the forged datagrams.
const (
	floodTick           = 10 * time.Millisecond
	floodTicksPerSecond = int(time.Second / floodTick)
	floodDatagramBytes  = 700
	floodMagic          = 0xca // first byte of every datagram
	floodFormat         = 1    // second byte

	// floodSequenceOffset is the offset of the sequence number in the header. It follows magic and format, cookie,
	// epoch and incarnation.
	floodSequenceOffset = 2 + 8 + 8 + 4
	// floodHeaderBytes is the length of the fixed part of the header, including the sequence number.
	floodHeaderBytes = floodSequenceOffset + 8
)

// Flood sends forged member datagrams to an address until stop is closed. The rate is in datagrams per second.
func Flood(to string, rate int, stop <-chan struct{}) error {
	addr, err := netip.ParseAddrPort(to)
	if err != nil {
		return err
	}
	conn, err := net.DialUDP("udp", nil, net.UDPAddrFromAddrPort(addr))
	if err != nil {
		return fmt.Errorf("flood: %w", err)
	}
	defer func() { _ = conn.Close() }() // best effort
	forged := make([]byte, floodDatagramBytes)
	_, _ = rand.Read(forged) // never fails
	forged[0] = floodMagic
	forged[1] = floodFormat
	tick := time.NewTicker(floodTick)
	defer tick.Stop()
	for sequenceNumber := 0; ; {
		select {
		case <-stop:
			return nil
		case <-tick.C:
		}
		for range rate / floodTicksPerSecond {
			sequenceNumber++
			forgeHeader(forged, sequenceNumber)
			_, _ = conn.Write(forged) // a failed write is a lost datagram
		}
	}
}

// forgeHeader writes a plausible header: the sender is one of ten members, and the sequence number is new to the
// receiver.
func forgeHeader(datagram []byte, sequenceNumber int) {
	sequence := datagram[floodSequenceOffset:floodHeaderBytes]
	sequence[0] = 1
	sequence[5] = byte(sequenceNumber >> 16)
	sequence[6] = byte(sequenceNumber >> 8)
	sequence[7] = byte(sequenceNumber)
	sender := []byte{2, 'n', byte('0' + sequenceNumber%10)} // the length of the name, and the name
	receiver := []byte{0}                                   // an empty name, not yet known to the sender
	copy(datagram[floodHeaderBytes:], append(sender, receiver...))
}
