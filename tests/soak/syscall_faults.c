/* Fails, shortens or interrupts system calls of one process, and steps its wall clock.
 *
 * Preloaded by tests/soak/syscall_faults.py, which also defines the layout of the control file. The test writes
 * the control file while the process runs, so a fault can begin and end at any moment. */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <stdint.h>
#include <stdlib.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/types.h>
#include <sys/uio.h>
#include <time.h>
#include <unistd.h>

enum call { ACCEPT, SOCKET, CONNECT, READ, WRITE, OPEN, FSYNC, RENAME, CALLS };

#define SHORTENED (-1) /* in place of an errno: one byte is read or written */

struct rule {
    int32_t fault;        /* errno, SHORTENED, or 0: the call is only delayed */
    uint32_t per_million; /* probability of a fault, by a seeded generator */
    uint32_t nth;         /* the only call that fails; 0: by probability */
    uint32_t delay_us;    /* delay of each call that is hit */
    uint32_t calls;       /* calls made so far */
    uint32_t hits;        /* calls that were failed, shortened or delayed */
};

struct control {
    int64_t wall_offset_ns;
    struct rule rule[CALLS];
};

static struct control *control;
static uint64_t state = 88172645463325252ull;

__attribute__((constructor)) static void begin(void) {
    const char *path = getenv("SYSCALL_FAULTS_CONTROL"), *seed = getenv("SYSCALL_FAULTS_SEED");
    if (path == NULL) return;
    int (*real_open)(const char *, int, ...) = dlsym(RTLD_NEXT, "open");
    int fd = real_open(path, O_RDWR | O_CLOEXEC);
    if (fd < 0) return;
    void *mapped = mmap(NULL, sizeof(struct control), PROT_READ | PROT_WRITE, MAP_SHARED, fd, 0);
    close(fd);
    if (mapped != MAP_FAILED) control = mapped;
    if (seed != NULL) state ^= strtoull(seed, NULL, 10) * 0x9E3779B97F4A7C15ull;
    if (state == 0) state = 1;
}

/* Counts the call and returns its fault, after the delay; 0: none. */
static int fault_of(enum call call) {
    if (control == NULL) return 0;
    struct rule *rule = &control->rule[call];
    uint32_t number = __atomic_add_fetch(&rule->calls, 1, __ATOMIC_RELAXED);
    if (rule->fault == 0 && rule->delay_us == 0) return 0;
    state ^= state << 13;
    state ^= state >> 7;
    state ^= state << 17;
    int hit = rule->nth ? number == rule->nth : state % 1000000 < rule->per_million;
    if (!hit) return 0;
    __atomic_add_fetch(&rule->hits, 1, __ATOMIC_RELAXED);
    if (rule->delay_us) {
        struct timespec pause = {rule->delay_us / 1000000, rule->delay_us % 1000000 * 1000l};
        nanosleep(&pause, NULL);
    }
    return rule->fault;
}

static int is_socket(int fd) {
    struct stat about;
    return fstat(fd, &about) == 0 && S_ISSOCK(about.st_mode);
}

/* Descriptors of outgoing connections. A failing read means a dead connection; reads of accepted connections do not
 * fail, because their clients could not be answered and there would be nothing to check. */
static unsigned char dialled[1 << 16];

static int is_dialled(int fd) {
    return fd >= 0 && fd < (int)sizeof(dialled) && dialled[fd];
}

static int accepted(int fd) {
    if (fd >= 0 && fd < (int)sizeof(dialled)) dialled[fd] = 0;
    return fd;
}

#define REAL(name) \
    static __typeof__(name) *real; \
    if (real == NULL) real = (__typeof__(name) *)dlsym(RTLD_NEXT, #name)

#define FAIL_AS(call, failed) \
    do { \
        int fault = fault_of(call); \
        if (fault > 0) { \
            errno = fault; \
            return failed; \
        } \
    } while (0)

int accept4(int fd, struct sockaddr *address, socklen_t *size, int flags) {
    REAL(accept4);
    FAIL_AS(ACCEPT, -1);
    return accepted(real(fd, address, size, flags));
}

int accept(int fd, struct sockaddr *address, socklen_t *size) {
    REAL(accept);
    FAIL_AS(ACCEPT, -1);
    return accepted(real(fd, address, size));
}

int socket(int domain, int type, int protocol) {
    REAL(socket);
    if (domain == AF_INET) FAIL_AS(SOCKET, -1);
    return real(domain, type, protocol);
}

int connect(int fd, const struct sockaddr *address, socklen_t size) {
    REAL(connect);
    if (address->sa_family == AF_INET) FAIL_AS(CONNECT, -1);
    if (fd >= 0 && fd < (int)sizeof(dialled)) dialled[fd] = 1;
    return real(fd, address, size);
}

ssize_t read(int fd, void *data, size_t size) {
    REAL(read);
    if (control != NULL && is_socket(fd)) {
        int fault = fault_of(READ);
        if (fault > 0 && (fault == EINTR || is_dialled(fd))) {
            errno = fault;
            return -1;
        }
        if (fault == SHORTENED && size > 1) size = 1;
    }
    return real(fd, data, size);
}

/* Whether the current WRITE fault applies to this descriptor: ENOSPC and EIO only to files, others to files and
 * sockets, none to the event loop's wake-up descriptors. Standard error is exempt, because it is the log. */
static int can_fail(int fd) {
    struct stat about;
    if (fd <= 2 || fstat(fd, &about) != 0) return 0;
    int fault = control->rule[WRITE].fault;
    if (fault == ENOSPC || fault == EIO) return S_ISREG(about.st_mode);
    return S_ISREG(about.st_mode) || S_ISSOCK(about.st_mode);
}

ssize_t write(int fd, const void *data, size_t size) {
    REAL(write);
    if (control != NULL && can_fail(fd)) {
        int fault = fault_of(WRITE);
        if (fault > 0) {
            errno = fault;
            return -1;
        }
        if (fault == SHORTENED && size > 1) size = 1;
    }
    return real(fd, data, size);
}

ssize_t writev(int fd, const struct iovec *parts, int count) {
    REAL(writev);
    if (control != NULL && can_fail(fd)) {
        int fault = fault_of(WRITE);
        if (fault > 0) {
            errno = fault;
            return -1;
        }
        if (fault == SHORTENED && count > 0 && parts[0].iov_len > 1) {
            struct iovec first = {parts[0].iov_base, 1};
            return real(fd, &first, 1);
        }
    }
    return real(fd, parts, count);
}

int fsync(int fd) {
    REAL(fsync);
    FAIL_AS(FSYNC, -1);
    return real(fd);
}

int renameat(int from_folder, const char *from, int to_folder, const char *to) {
    REAL(renameat);
    FAIL_AS(RENAME, -1);
    return real(from_folder, from, to_folder, to);
}

/* Plain openat is not intercepted: programs with 64-bit file offsets do not call it. */
int openat64(int folder, const char *path, int flags, ...) {
    static int (*real)(int, const char *, int, ...);
    if (real == NULL) real = dlsym(RTLD_NEXT, "openat64");
    mode_t mode = 0;
    if (flags & (O_CREAT | O_TMPFILE)) {
        __builtin_va_list arguments;
        __builtin_va_start(arguments, flags);
        mode = __builtin_va_arg(arguments, mode_t);
        __builtin_va_end(arguments);
    }
    if (flags & O_CREAT) FAIL_AS(OPEN, -1);
    return real(folder, path, flags, mode);
}

int clock_gettime(clockid_t clock, struct timespec *at) {
    REAL(clock_gettime);
    int done = real(clock, at);
    if (done == 0 && clock == CLOCK_REALTIME && control != NULL) {
        int64_t offset = __atomic_load_n(&control->wall_offset_ns, __ATOMIC_RELAXED);
        int64_t now = at->tv_sec * 1000000000ll + at->tv_nsec + offset;
        at->tv_sec = now / 1000000000ll;
        at->tv_nsec = now % 1000000000ll;
    }
    return done;
}
