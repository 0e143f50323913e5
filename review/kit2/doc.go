// Package kit2 has the stand-ins of the second review: the platform's store and
// duties interface, replicas, clients, TCP proxies and the processes of the system.
// They follow the users' pages PROTOCOL, DEPLOY and RULES. The commands of the cases
// in review/6 to review/10 use it; nothing else does.
package kit2
