#!/bin/sh
# Sends one request to the example's scheduler. Needs cgi-fcgi (Debian: libfcgi-bin).
# usage: request.sh [CLASS [BODY]]
class=${1:-consulta}
body=${2:-hello}
id=$(od -An -N8 -tx8 /dev/urandom | tr -d ' ')
printf %s "$body" | env -i PATH="$PATH" REQUEST_METHOD=POST CONTENT_LENGTH=${#body} SCRIPT_NAME="/rpc/$class" \
	HTTP_REQUEST_ID="$id" HTTP_BUDGET_MS=2000 HTTP_ONCE_KEY="$id$id" HTTP_RESOURCE_KEY=7f3a9c21e0b4d655 \
	HTTP_X_SPEC="memory_mb:512;lanes:2" cgi-fcgi -bind -connect 127.0.0.1:5050
