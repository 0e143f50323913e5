package attempt

import (
	"fmt"
	"net/http"
)

// FinalStatus reports whether a status is that of a final response of HTTP (RFC 9110,
// 15): 200 to 599. The parser of package net/http accepts any three characters that
// are a number, such as 000, 099, +99 and 999.
func FinalStatus(status int) bool { return status >= 200 && status <= 599 }

// checkHead returns an error unless the head of a response can be forwarded to a
// caller as it is.
func checkHead(resp *http.Response) error {
	if !FinalStatus(resp.StatusCode) {
		return fmt.Errorf("status %03d is not that of an answer", resp.StatusCode)
	}
	if resp.StatusCode == http.StatusNoContent && announcesBody(resp) {
		return fmt.Errorf("an answer with status %d has a body", resp.StatusCode)
	}
	if resp.StatusCode == http.StatusNotModified && len(resp.TransferEncoding) > 0 {
		resp.Close = true // a body may follow, which must not be taken for the next answer
	}
	return nil
}

// announcesBody reports whether a head says that bytes of a body follow.
func announcesBody(resp *http.Response) bool {
	length := resp.Header.Get("Content-Length")
	return len(resp.TransferEncoding) > 0 || length != "" && length != "0"
}
