// Package gossip maintains the membership of a fleet of schedulers. Failures are detected by probing and disseminated by
// gossip as in SWIM (Das, Gupta and Motivala, 2002), with the local health multiplier of Lifeguard (Dadgar, Phillips
// and Currey, 2018). It also disseminates statements, which their author signs and all others only forward.
//
// Core makes every decision and does no I/O: Step is given the events that arrived and the time, and returns what is
// to be sent and what changed. Guard authenticates datagrams, rejects replays, and bounds the work spent on both.
//
// Whatever is received, these invariants hold: a Core sends at most Config.MaxMessagesPerSecond messages in any second, none
// of them longer than MaxDatagram; it holds at most Config.MaxMembers members; and a member is declared dead only after it
// failed to answer this member, or one that reported it, and did not refute the suspicion within Config.SuspicionTimeout.
package gossip
