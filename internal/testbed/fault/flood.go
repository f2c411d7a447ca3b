package fault

import (
	"crypto/rand"
	"fmt"
	"net"
	"net/netip"
	"time"
)

// The datagrams of a flood.
const (
	floodTick          = 10 * time.Millisecond
	floodTicksASecond  = int(time.Second / floodTick)
	floodDatagramBytes = 700
	floodMagic         = 0xca // first byte of every datagram
	floodFormat        = 1    // second byte

	// floodSequenceOffset is the length of what precedes the sequence number in a datagram's header: magic and format,
	// cookie, epoch and incarnation.
	floodSequenceOffset = 2 + 8 + 8 + 4
	// floodHeaderBytes is the length of the fixed part of the header, which the sequence number ends.
	floodHeaderBytes = floodSequenceOffset + 8
)

// Flood sends forged datagrams that look like a member's to an address, at a rate a second, until stop is closed.
func Flood(to string, rate int, stop <-chan struct{}) error {
	addr, err := netip.ParseAddrPort(to)
	if err != nil {
		return err
	}
	conn, err := net.DialUDP("udp", nil, net.UDPAddrFromAddrPort(addr))
	if err != nil {
		return fmt.Errorf("flood: %w", err)
	}
	defer func() { _ = conn.Close() }() // nothing is left to do about an error
	forged := make([]byte, floodDatagramBytes)
	_, _ = rand.Read(forged) // never fails
	forged[0] = floodMagic
	forged[1] = floodFormat
	tick := time.NewTicker(floodTick)
	defer tick.Stop()
	for number := 0; ; {
		select {
		case <-stop:
			return nil
		case <-tick.C:
		}
		for range rate / floodTicksASecond {
			number++
			forgeHeader(forged, number)
			_, _ = conn.Write(forged) // lost like any datagram
		}
	}
}

// forgeHeader gives a datagram a header that looks valid: from one of ten members, with a sequence number that the
// receiver has not seen.
func forgeHeader(datagram []byte, number int) {
	sequence := datagram[floodSequenceOffset:floodHeaderBytes]
	sequence[0] = 1
	sequence[5] = byte(number >> 16)
	sequence[6] = byte(number >> 8)
	sequence[7] = byte(number)
	sender := []byte{2, 'n', byte('0' + number%10)} // the length of the name, and the name
	receiver := []byte{0}                           // an empty name, as from a sender that does not know it yet
	copy(datagram[floodHeaderBytes:], append(sender, receiver...))
}
