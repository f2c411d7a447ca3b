package scenario

// ColdStart has the scenarios of 'testbed coldstart' by name.
var ColdStart = map[string]string{
	"well":    "0s known full\n0s start 1\n8s tell",
	"empty":   "0s known empty\n0s start 1\n8s tell",
	"old":     "0s drain 0.2\n0s known old\n0s start 1\n8s tell",
	"refused": "0s known full\n0s list refuse\n0s start 1\n10s list well",
	"busy":    "0s known full\n0s list busy\n0s start 1\n10s list well",
	"crowded": "0s drain 0.2\n0s known old\n0s list crowded 0.1\n0s start 1",
	"silent":  "0s known full\n0s start 1\n5s list silent\n19s list well",
	"broken":  "0s known full\n0s start 1\n6s break\n12s break",
	"torn":    "0s known full\n0s start 1\n5s list torn\n5s drain 0.1\n9s list well",
	"roll":    "0s known full\n0s start 1\n5s replace 0.2\n5s roll 0.1 1s\n16s tell",
	"herd":    "0s known full\n0s start 1\n6s kill 0.7\n7s start 1",
	"mute":    "0s known full\n0s start 1\n6s workers mute 0.2\n6s kill 0.7\n7s start 1\n12s workers sound 0.2",
	"cut":     "0s known full\n0s start 1\n6s link cut 1 0.2\n6s kill 0.7\n7s start 1\n12s link whole 1 0.2",
	"cold":    "0s boot 1\n0s known full\n0s start 1",
	"zone":    "0s known full\n0s start 1\n6s link cut 0.3 1\n9s link whole 0.3 1",
	"reborn":  "0s known full\n0s start 1\n6s boot 0.4\n6s kill 0.4\n7s start 1",
	"jammed":  "0s known full\n0s start 1\n6s boot 0.2\n6s jam 4s\n6s kill 0.7\n7s start 1",
	"split":   "0s known full\n0s start 1\n4s talk lossy 0.3\n6s talk cut 0.3\n6s workers mute 0.2\n12s talk whole 1\n14s workers sound 0.2",
	"stopped": "0s known full\n0s start 1\n6s stop 0.5\n11s cont 0.5",
	"slow":    "0s known full\n0s start 1\n5s workers stalls 0.3\n5s list crowded 0.2\n6s drain 0.1\n12s workers sound 0.3",
}
