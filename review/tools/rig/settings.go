package main

// class returns the settings of a class of requests.
func class(name, effect string, aimMs, limitMs, worth, lateWorth float64) map[string]any {
	return map[string]any{
		"name": name, "effect": effect, "aimMs": aimMs, "hardLimitMs": limitMs, "worth": worth, "lateWorth": lateWorth,
		"dedupScope": "all", "memorySpanMs": limitMs, "stream": false,
	}
}

// classes returns the classes of gt-registros.
func classes() []map[string]any {
	return []map[string]any{
		class("consulta", "read_like", 750, 3000, 1, 0.1),
		class("registro-horas", "idempotency_key", 600, 2500, 3, 0.2),
		class("certificado", "non_idempotent", 750, 2500, 2, 0.3),
	}
}

// settings returns settings like those of gt-registros with one scheduler.
func settings(classes []map[string]any) map[string]any {
	return map[string]any{
		"az": 0, "balancers": 1, "callers": map[string]any{"marksRetry": false},
		"ceilings": map[string]any{
			"attemptsCap": 4, "cancel": true, "connectTimeoutMs": 250, "cpuUsPerRequest": 0, "cpuUsPerS": 735494,
			"idleCloseMs": 15000, "maxRetryAfterMs": 500, "multiplex": 100, "openCap": 29419, "peerMessages": false,
			"probes": true, "retryAfter": true, "secondCopies": true,
		},
		"classes": classes, "dcs": []string{"guate-zona4"}, "discovery": "pushed",
		"familyInfo": map[string]any{
			"answerWithinMs": 10000, "idleLifeMs": 9000, "idlePrice": 0.15, "loadRatio": 0, "loadWindowMs": 0, "loadsAnyway": 0,
			"mayLoad": false, "ramMbByKind": []float64{9280, 9280}, "saysCompany": true, "saysWarm": false, "whenAbsent": "load",
		},
		"fees":  map[string]any{"lateFail": 0.027, "origin": 0.03, "probe": 0.008, "waste": 0.025},
		"layer": 0, "overShareWorth": 0.1, "rank": 0,
		"report": map[string]any{"fields": []string{"util"}, "how": "piggyback"},
		"safety": map[string]any{
			"answerSlackMs": 16, "askWithinMs": 10000, "coldMs": 17000, "coldShare": 0.25, "overloadForMs": 2000,
			"stopSendingWithinMs": 1000, "tipMultiple": 3,
		},
		"scoringMix": map[string]any{"whole": 0.5, "worstClass": 0.2, "worstTenant": 0, "worstWindow": 0.3},
		"shapes":     []string{"std-3c", "slow-3c"}, "tenants": []any{}, "tickMs": 4, "tiers": []string{"trabajadores"},
		"weights": "rough", "workload": "warm", "worthBy": "request",
	}
}
