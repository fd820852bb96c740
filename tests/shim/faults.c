/*
 * Makes system calls of one process fail, for the tests: loaded with LD_PRELOAD, told what to do by a control file that
 * the test rewrites while the process runs (its path is in FAULTS_FILE). Each line of that file names one fault:
 *
 *   CALL ERRNO PERCENT   that share of the calls fails with this error
 *   short 0 PERCENT      that share of the reads and writes on sockets moves a part of the bytes only
 *   clock 0 SECONDS      the wall clock is off by so much; the monotonic clock is not
 *
 * CALL is one of accept, bind, connect, epoll, open, socket. Only files named config.json fail to open.
 */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <stdarg.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <sys/syscall.h>
#include <sys/uio.h>
#include <time.h>
#include <unistd.h>

enum fault { ACCEPT, BIND, CONNECT, EPOLL, OPEN, SOCKET, SHORT, CLOCK, FAULTS };

static const char *const NAMES[FAULTS] = {"accept", "bind", "connect", "epoll", "open", "socket", "short", "clock"};
static const long REREAD_NS = 5000000;

static int error_of[FAULTS];
static long amount_of[FAULTS];
static long long read_at;
static uint64_t state;

#define REAL(type, name) ((type)dlsym(RTLD_NEXT, name))

static long long monotonic_ns(void) {
    struct timespec now;
    syscall(SYS_clock_gettime, CLOCK_MONOTONIC, &now);
    return now.tv_sec * 1000000000LL + now.tv_nsec;
}

static void reread(void) {
    long long now = monotonic_ns();
    if (read_at != 0 && now - read_at < REREAD_NS)
        return;
    read_at = now;
    const char *path = getenv("FAULTS_FILE");
    if (path == NULL)
        return;
    int file = (int)syscall(SYS_openat, AT_FDCWD, path, O_RDONLY | O_CLOEXEC);
    if (file < 0)
        return;
    char text[1024];
    long length = syscall(SYS_read, file, text, sizeof text - 1);
    syscall(SYS_close, file);
    if (length < 0)
        return;
    text[length] = 0;
    memset(error_of, 0, sizeof error_of);
    memset(amount_of, 0, sizeof amount_of);
    for (char *line = strtok(text, "\n"); line != NULL; line = strtok(NULL, "\n")) {
        char name[16];
        int error;
        long amount;
        if (sscanf(line, "%15s %d %ld", name, &error, &amount) != 3)
            continue;
        for (int at = 0; at < FAULTS; at++) {
            if (strcmp(name, NAMES[at]) == 0) {
                error_of[at] = error;
                amount_of[at] = amount;
            }
        }
    }
}

static int drawn(enum fault fault) {
    reread();
    if (amount_of[fault] <= 0)
        return 0;
    if (state == 0)
        state = (uint64_t)monotonic_ns() | 1;
    state = state * 6364136223846793005ULL + 1442695040888963407ULL;
    return (long)((state >> 33) % 100) < amount_of[fault];
}

static int fails(enum fault fault) {
    if (!drawn(fault))
        return 0;
    errno = error_of[fault];
    return 1;
}

static size_t part(size_t length) { return length > 1 && drawn(SHORT) ? 1 + length / 3 : length; }

int accept4(int fd, struct sockaddr *addr, socklen_t *length, int flags) {
    if (fails(ACCEPT))
        return -1;
    return REAL(int (*)(int, struct sockaddr *, socklen_t *, int), "accept4")(fd, addr, length, flags);
}

int bind(int fd, const struct sockaddr *addr, socklen_t length) {
    if (fails(BIND))
        return -1;
    return REAL(int (*)(int, const struct sockaddr *, socklen_t), "bind")(fd, addr, length);
}

int connect(int fd, const struct sockaddr *addr, socklen_t length) {
    if (fails(CONNECT))
        return -1;
    return REAL(int (*)(int, const struct sockaddr *, socklen_t), "connect")(fd, addr, length);
}

int socket(int domain, int type, int protocol) {
    if (domain == AF_INET && fails(SOCKET))
        return -1;
    return REAL(int (*)(int, int, int), "socket")(domain, type, protocol);
}

int epoll_wait(int epoll, struct epoll_event *events, int most, int timeout) {
    if (fails(EPOLL))
        return -1;
    return REAL(int (*)(int, struct epoll_event *, int, int), "epoll_wait")(epoll, events, most, timeout);
}

static int open_fails(const char *path) { return strstr(path, "config.json") != NULL && fails(OPEN); }

int open64(const char *path, int flags, ...) {
    if (open_fails(path))
        return -1;
    va_list rest;
    va_start(rest, flags);
    int mode = va_arg(rest, int);
    va_end(rest);
    return REAL(int (*)(const char *, int, int), "open64")(path, flags, mode);
}

int open(const char *path, int flags, ...) {
    va_list rest;
    va_start(rest, flags);
    int mode = va_arg(rest, int);
    va_end(rest);
    return open64(path, flags, mode);
}

ssize_t recv(int fd, void *into, size_t length, int flags) {
    return REAL(ssize_t (*)(int, void *, size_t, int), "recv")(fd, into, part(length), flags);
}

ssize_t send(int fd, const void *from, size_t length, int flags) {
    return REAL(ssize_t (*)(int, const void *, size_t, int), "send")(fd, from, part(length), flags);
}

ssize_t writev(int fd, const struct iovec *from, int count) {
    if (count > 0 && drawn(SHORT))
        return REAL(ssize_t (*)(int, const void *, size_t), "write")(fd, from[0].iov_base, from[0].iov_len);
    return REAL(ssize_t (*)(int, const struct iovec *, int), "writev")(fd, from, count);
}

int clock_gettime(clockid_t clock, struct timespec *into) {
    int result = (int)syscall(SYS_clock_gettime, clock, into);
    if (clock == CLOCK_REALTIME) {
        reread();
        into->tv_sec += amount_of[CLOCK];
    }
    return result;
}
