// SPDX-License-Identifier: Apache-2.0

package standin

import (
	"strconv"
	"strings"
)

// InvalidHeads returns responses with a body whose heads HTTP does not allow, by what is wrong with them. lines are added to each head.
func InvalidHeads(lines, body string) map[string]string {
	length := strconv.Itoa(len(body))
	whole := func(statusLine, more string) string {
		return statusLine + "\r\n" + lines + more + "Content-Length: " + length + "\r\n\r\n" + body
	}
	ok := func(more string) string { return whole("HTTP/1.1 200 OK", more) }
	return map[string]string{
		"status 000":                      whole("HTTP/1.1 000 Unknown", ""),
		"status 000 in HTTP/1.0":          whole("HTTP/1.0 000 Unknown", ""),
		"status 000 without a reason":     whole("HTTP/1.1 000", ""),
		"status 001":                      whole("HTTP/1.1 001 Unknown", ""),
		"status 099":                      whole("HTTP/1.1 099 Unknown", ""),
		"status 600":                      whole("HTTP/1.1 600 Unknown", ""),
		"status 999":                      whole("HTTP/1.1 999 Unknown", ""),
		"status 000 after an interim":     "HTTP/1.1 103 Early Hints\r\n\r\n" + whole("HTTP/1.1 000 Unknown", ""),
		"interim with status 000":         "HTTP/1.1 000 Unknown\r\n\r\n" + ok(""),
		"blank in a name":                 ok("Bad Name: x\r\n"),
		"blank before the colon":          ok("Name : x\r\n"),
		"blank before the name":           ok(" Name: x\r\n"),
		"tab in a name":                   ok("Bad\tName: x\r\n"),
		"control byte in a name":          ok("Bad\x01Name: x\r\n"),
		"NUL in a name":                   ok("Bad\x00Name: x\r\n"),
		"DEL in a name":                   ok("Bad\x7fName: x\r\n"),
		"CR in a name":                    ok("Bad\rName: x\r\n"),
		"control byte in a value":         ok("Name: x\x01\r\n"),
		"blank in the name of an interim": "HTTP/1.1 103 Early Hints\r\nBad Name: x\r\n\r\n" + ok(""),
		"length behind a blank":           "HTTP/1.1 200 OK\r\n" + lines + "Content-Length : " + length + "\r\n\r\n" + body,
		"coding behind a blank":           "HTTP/1.1 200 OK\r\n" + lines + "Transfer-Encoding : chunked\r\n\r\n" + body,
		"two lengths, one behind a blank": ok("Content-Length : 1\r\n"),
	}
}

// CutHeads returns all texts that end in the head of a response, at each of its bytes, and behind interim heads.
func CutHeads(head string) []string {
	var cut []string
	for _, before := range []string{"", "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"} {
		for n := range len(head) {
			cut = append(cut, before+head[:n])
		}
	}
	old := strings.Replace(head, "HTTP/1.1", "HTTP/1.0", 1)
	for n := range len(old) {
		cut = append(cut, old[:n])
	}
	return cut
}
