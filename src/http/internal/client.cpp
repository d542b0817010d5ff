#include "http/client.h"

#include "http/internal/curlsupport.h"

namespace http {

namespace {

int onProgress(void *Context, curl_off_t, curl_off_t, curl_off_t, curl_off_t) {
  const auto &Cancel = *static_cast<const std::atomic<bool> *>(Context);
  return Cancel.load() ? 1 : 0;
}

} // namespace

struct Client::State {
  CURL *Handle = curl_easy_init();
  ~State() { curl_easy_cleanup(Handle); }

  void applyOptions(const ExchangeOptions &Options) {
    applyCommonOptions(Handle, Options.Timeout, Options.ConnectTimeout);
    if (Options.FreshConnection) {
      curl_easy_setopt(Handle, CURLOPT_FRESH_CONNECT, 1L);
      curl_easy_setopt(Handle, CURLOPT_FORBID_REUSE, 1L);
    }
    if (Options.Cancel == nullptr)
      return;
    curl_easy_setopt(Handle, CURLOPT_XFERINFOFUNCTION, &onProgress);
    curl_easy_setopt(Handle, CURLOPT_XFERINFODATA, Options.Cancel);
    curl_easy_setopt(Handle, CURLOPT_NOPROGRESS, 0L);
  }

  /// The timeout also ends an attempt to connect; then nothing was sent. The
  /// number of connections says nothing about an attempt that failed.
  bool nothingSent() {
    curl_off_t TransferMicroseconds = 0;
    curl_easy_getinfo(Handle, CURLINFO_PRETRANSFER_TIME_T,
                      &TransferMicroseconds);
    long RequestBytes = 0;
    curl_easy_getinfo(Handle, CURLINFO_REQUEST_SIZE, &RequestBytes);
    return TransferMicroseconds == 0 && RequestBytes == 0;
  }
};

Client::Client() {
  initializeCurl();
  Impl = std::make_unique<State>();
}

Client::~Client() = default;

ExchangeResult Client::exchange(const std::string &BaseUrl, const Request &Sent,
                                const ExchangeOptions &Options) {
  Reception Target;
  Target.MaxBytes = Options.MaxResponseBytes;
  curl_easy_reset(Impl->Handle);
  std::string Url = BaseUrl + Sent.Path;
  if (!Sent.Query.empty())
    Url += "?" + Sent.Query;
  curl_easy_setopt(Impl->Handle, CURLOPT_URL, Url.c_str());
  applyMethod(Impl->Handle, Sent);
  Impl->applyOptions(Options);
  collectResponse(Impl->Handle, Target);
  curl_slist *List = makeHeaderList(Sent);
  curl_easy_setopt(Impl->Handle, CURLOPT_HTTPHEADER, List);
  const CURLcode Code = curl_easy_perform(Impl->Handle);
  curl_slist_free_all(List);
  ExchangeResult Result = takeResult(Impl->Handle, Code, Target);
  if (Result.Status == ExchangeStatus::TimedOut && Impl->nothingSent())
    Result.Status = ExchangeStatus::NotSent;
  return Result;
}

} // namespace http
